/** The metrics of a gateway. */
package org.cranberrygauge.gateway.metrics;
