/** The memory that a host uses for its requests. */
package org.cranberrygauge.decision.memory;
