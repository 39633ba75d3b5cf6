/** Rate limits that backend servers state, and how hosts share them. */
package org.cranberrygauge.decision.limit;
