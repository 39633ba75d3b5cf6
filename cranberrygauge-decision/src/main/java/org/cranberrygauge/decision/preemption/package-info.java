/** Preemption: which running request stops in favour of a waiting request of a higher tier. */
package org.cranberrygauge.decision.preemption;
