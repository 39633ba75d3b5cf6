/** The sources of time that executors hand to deciding functions. */
package org.cranberrygauge.runtime.time;
