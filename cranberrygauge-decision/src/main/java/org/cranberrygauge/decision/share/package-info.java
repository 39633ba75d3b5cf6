/** How the slots of backend servers are divided between gateways. */
package org.cranberrygauge.decision.share;
