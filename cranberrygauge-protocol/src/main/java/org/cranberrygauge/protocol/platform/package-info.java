/** The interfaces of the platform: the log, the host list, orders and usage reports. */
package org.cranberrygauge.protocol.platform;
