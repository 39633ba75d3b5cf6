/** Emulation of the platform: log, backend servers and usage reports. */
package org.cranberrygauge.emulator.platform;
