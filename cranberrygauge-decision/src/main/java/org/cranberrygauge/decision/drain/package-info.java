/** Drains of backend servers, which get no new work while they are drained. */
package org.cranberrygauge.decision.drain;
