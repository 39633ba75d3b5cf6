/** The measured speed of backend servers and adaptive limits of their concurrency. */
package org.cranberrygauge.decision.capacity;
