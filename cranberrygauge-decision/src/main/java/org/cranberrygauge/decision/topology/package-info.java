/** Which nodes exchange with which others, and who reads the log for whom. */
package org.cranberrygauge.decision.topology;
