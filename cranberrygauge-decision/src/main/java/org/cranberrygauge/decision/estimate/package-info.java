/** Estimation of output lengths. */
package org.cranberrygauge.decision.estimate;
