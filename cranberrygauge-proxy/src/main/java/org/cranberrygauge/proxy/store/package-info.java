/** The shared log, which holds all state that outlives a host. */
package org.cranberrygauge.proxy.store;
