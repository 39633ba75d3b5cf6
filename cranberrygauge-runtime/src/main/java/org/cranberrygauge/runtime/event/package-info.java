/** Structured events, each written as one line of key=value pairs. */
package org.cranberrygauge.runtime.event;
