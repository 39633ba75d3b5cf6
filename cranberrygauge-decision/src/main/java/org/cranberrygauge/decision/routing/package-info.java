/** Routing: which backend server runs a request. */
package org.cranberrygauge.decision.routing;
