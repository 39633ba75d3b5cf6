/** Data centres whose backend servers get no requests by the operator's order. */
package org.cranberrygauge.decision.evacuation;
