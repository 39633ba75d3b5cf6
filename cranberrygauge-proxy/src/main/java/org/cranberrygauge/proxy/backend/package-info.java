/** The backend servers that have registered. */
package org.cranberrygauge.proxy.backend;
