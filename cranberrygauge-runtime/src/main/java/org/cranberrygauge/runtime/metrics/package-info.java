/** The metrics of a process. */
package org.cranberrygauge.runtime.metrics;
