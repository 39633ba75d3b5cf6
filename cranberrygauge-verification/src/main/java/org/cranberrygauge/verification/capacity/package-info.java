/** Measures how the cost of control grows, and works out its cost at the target size. */
package org.cranberrygauge.verification.capacity;
