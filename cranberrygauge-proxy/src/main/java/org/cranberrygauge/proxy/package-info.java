/** Routes requests with opaque bodies to pools of backend servers by host and path. */
package org.cranberrygauge.proxy;
