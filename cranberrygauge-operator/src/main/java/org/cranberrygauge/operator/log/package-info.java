/** What commands read from the log and write to it. */
package org.cranberrygauge.operator.log;
