/** The way of a request from its caller to backend servers and back. */
package org.cranberrygauge.proxy.exchange;
