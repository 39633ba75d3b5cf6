/** The exchange of a request: from the caller to backend servers, and the response back. */
package org.cranberrygauge.proxy.exchange;
