/** The codec of log entries. */
package org.cranberrygauge.protocol.log;
