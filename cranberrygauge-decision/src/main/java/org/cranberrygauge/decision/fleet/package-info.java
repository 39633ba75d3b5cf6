/** Fleet planning: how many backend servers each pool should have. */
package org.cranberrygauge.decision.fleet;
