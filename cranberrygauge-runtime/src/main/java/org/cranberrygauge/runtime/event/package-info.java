/** Structured events, one line of key=value pairs each. */
package org.cranberrygauge.runtime.event;
