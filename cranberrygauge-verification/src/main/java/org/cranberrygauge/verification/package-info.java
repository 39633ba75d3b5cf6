/** Checks of the whole: the direction of dependencies, faults at every step, and measurements. */
package org.cranberrygauge.verification;
