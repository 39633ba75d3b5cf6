/** Following the log and appending to it. */
package org.cranberrygauge.runtime.log;
