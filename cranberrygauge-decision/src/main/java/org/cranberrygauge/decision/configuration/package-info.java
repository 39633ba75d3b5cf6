/** Accepted configurations: the state machine, validation and the index of keys. */
package org.cranberrygauge.decision.configuration;
