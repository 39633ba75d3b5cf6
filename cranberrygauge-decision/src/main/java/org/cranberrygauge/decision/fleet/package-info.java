/** How many backend servers each pool shall have. */
package org.cranberrygauge.decision.fleet;
