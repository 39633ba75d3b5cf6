/**
 * Fault injection into the protocols' state machines (the fault matrix), and the exhaustive search of the admission
 * freshness rule.
 */
package org.cranberrygauge.verification.faults;
