/** What one host does for all: usage reports and orders of backend servers. */
package org.cranberrygauge.proxy.leader;
