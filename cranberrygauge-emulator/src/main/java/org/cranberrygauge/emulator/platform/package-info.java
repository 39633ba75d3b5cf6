/** The stand-in of the platform: log, list of backend servers, orders and usage reports. */
package org.cranberrygauge.emulator.platform;
