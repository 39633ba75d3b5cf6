/** The state machine of accepted configurations, its checks and the index of keys. */
package org.cranberrygauge.decision.configuration;
