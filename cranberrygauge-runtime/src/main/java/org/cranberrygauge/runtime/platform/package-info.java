/** Clients of the platform and of gateways. */
package org.cranberrygauge.runtime.platform;
