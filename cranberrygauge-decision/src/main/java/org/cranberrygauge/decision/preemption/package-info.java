/** Which running request gives way to a waiting one of a higher tier. */
package org.cranberrygauge.decision.preemption;
