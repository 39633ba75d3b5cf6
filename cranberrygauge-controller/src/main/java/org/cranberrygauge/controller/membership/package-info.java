/** Declaring gateways gone whose hosts failed. */
package org.cranberrygauge.controller.membership;
