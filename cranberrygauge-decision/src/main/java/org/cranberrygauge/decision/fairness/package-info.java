/** The order in which waiting requests of different customers get scarce capacity. */
package org.cranberrygauge.decision.fairness;
