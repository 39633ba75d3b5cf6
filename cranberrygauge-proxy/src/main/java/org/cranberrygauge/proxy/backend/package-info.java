/** Which backend servers there are, as their own entries say. */
package org.cranberrygauge.proxy.backend;
