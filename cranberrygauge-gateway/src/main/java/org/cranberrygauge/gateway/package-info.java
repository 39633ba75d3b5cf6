/** The gateway program, which routes the requests of callers to backend servers. */
package org.cranberrygauge.gateway;
