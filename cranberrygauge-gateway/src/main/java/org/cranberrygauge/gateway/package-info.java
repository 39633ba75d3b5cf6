/** The program between callers and backend servers. */
package org.cranberrygauge.gateway;
