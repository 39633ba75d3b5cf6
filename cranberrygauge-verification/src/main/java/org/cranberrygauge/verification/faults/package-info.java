/** The search of the freshness rule and the fault matrix over the pure state machines. */
package org.cranberrygauge.verification.faults;
