/** The exchange topology: which nodes exchange reports, and which ones read the log for others. */
package org.cranberrygauge.decision.topology;
