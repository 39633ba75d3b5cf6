/** Sending counted usage to the log. */
package org.cranberrygauge.gateway.usage;
