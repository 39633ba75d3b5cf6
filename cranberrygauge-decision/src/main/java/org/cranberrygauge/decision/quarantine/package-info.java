/** Quarantine: which requests are suspected of crashing backend servers, and how they are restricted. */
package org.cranberrygauge.decision.quarantine;
