/** The division of backend servers' slots between gateways. */
package org.cranberrygauge.decision.share;
