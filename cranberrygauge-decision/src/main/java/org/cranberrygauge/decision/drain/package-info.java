/** Backend servers that get no new work. */
package org.cranberrygauge.decision.drain;
