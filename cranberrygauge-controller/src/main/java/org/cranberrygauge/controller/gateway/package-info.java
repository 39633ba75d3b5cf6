/** Polling gateways for their load. */
package org.cranberrygauge.controller.gateway;
