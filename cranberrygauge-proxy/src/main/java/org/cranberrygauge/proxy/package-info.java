/** A proxy that routes requests with opaque bodies by host and path to pools of backend servers. */
package org.cranberrygauge.proxy;
