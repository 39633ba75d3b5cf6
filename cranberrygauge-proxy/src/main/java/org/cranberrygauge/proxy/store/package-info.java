/** The shared log in which everything lasts that outlives a host. */
package org.cranberrygauge.proxy.store;
