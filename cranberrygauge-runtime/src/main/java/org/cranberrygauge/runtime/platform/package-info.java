/** The client of the platform. */
package org.cranberrygauge.runtime.platform;
