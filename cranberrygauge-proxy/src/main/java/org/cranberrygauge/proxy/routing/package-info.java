/** Which backend server runs a request. */
package org.cranberrygauge.proxy.routing;
