/** Sources of the time that is passed to decision functions. */
package org.cranberrygauge.runtime.time;
