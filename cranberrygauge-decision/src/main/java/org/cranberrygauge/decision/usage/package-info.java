/** Counting usage, and the figures of usage windows as a function of the log's prefix. */
package org.cranberrygauge.decision.usage;
