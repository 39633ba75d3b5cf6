/** Reading and appending to the log by commands. */
package org.cranberrygauge.operator.log;
