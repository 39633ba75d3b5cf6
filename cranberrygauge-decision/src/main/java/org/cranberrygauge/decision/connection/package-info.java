/** Which connections of callers a process keeps open. */
package org.cranberrygauge.decision.connection;
