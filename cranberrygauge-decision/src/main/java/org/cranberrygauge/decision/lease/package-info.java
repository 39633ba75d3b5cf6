/** Leader election by conditional claims of a lease in the log, with fencing numbers. */
package org.cranberrygauge.decision.lease;
