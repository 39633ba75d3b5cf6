/** Reading from and appending to the log. */
package org.cranberrygauge.runtime.log;
