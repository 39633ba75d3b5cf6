/** The exchange of reports with the other gateways. */
package org.cranberrygauge.gateway.exchange;
