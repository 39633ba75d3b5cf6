/**
 * Measures how the cost of the control plane grows with the size of the system, and extrapolates it to the target size.
 */
package org.cranberrygauge.verification.capacity;
