/** Which waiting request starts next and which is refused. */
package org.cranberrygauge.decision.admission;
