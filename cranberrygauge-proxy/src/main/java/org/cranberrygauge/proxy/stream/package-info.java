/** Streams of events as they pass through. */
package org.cranberrygauge.proxy.stream;
