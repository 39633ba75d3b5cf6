/** The work that one elected host does for all hosts: usage reports and orders of backend servers. */
package org.cranberrygauge.proxy.leader;
