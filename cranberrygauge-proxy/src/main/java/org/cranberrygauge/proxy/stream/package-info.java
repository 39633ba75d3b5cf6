/** Processing of event streams that are forwarded. */
package org.cranberrygauge.proxy.stream;
