/** The waiting requests and the backend servers that take them. */
package org.cranberrygauge.gateway.schedule;
