/** How long answers will be. */
package org.cranberrygauge.decision.estimate;
