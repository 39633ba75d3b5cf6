/** The exchange with the other gateways. */
package org.cranberrygauge.gateway.exchange;
