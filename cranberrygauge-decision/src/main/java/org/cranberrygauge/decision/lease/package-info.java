/** The lease by conditional claims in the log and its fencing numbers. */
package org.cranberrygauge.decision.lease;
