/** Usage accounting: counters, replication, and usage windows as a function of the log's prefix. */
package org.cranberrygauge.decision.usage;
