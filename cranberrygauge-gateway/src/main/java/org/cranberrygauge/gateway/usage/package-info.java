/** Recording and replication of counted usage. */
package org.cranberrygauge.gateway.usage;
