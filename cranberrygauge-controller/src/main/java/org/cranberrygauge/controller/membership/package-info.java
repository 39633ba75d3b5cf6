/** Removal of gateways whose hosts failed. */
package org.cranberrygauge.controller.membership;
