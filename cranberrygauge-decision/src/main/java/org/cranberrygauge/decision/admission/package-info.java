/** Admission control: which waiting request starts next and which one is refused. */
package org.cranberrygauge.decision.admission;
