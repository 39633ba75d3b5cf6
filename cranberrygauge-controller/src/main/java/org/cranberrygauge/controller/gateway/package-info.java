/** What the controller asks of gateways. */
package org.cranberrygauge.controller.gateway;
