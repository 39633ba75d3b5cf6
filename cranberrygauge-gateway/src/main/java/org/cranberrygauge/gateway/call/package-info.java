/** One request on its way from the caller to a backend server and back. */
package org.cranberrygauge.gateway.call;
