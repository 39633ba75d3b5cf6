/** Dispatching: when each waiting request starts, on which backend server, and which running request is preempted. */
package org.cranberrygauge.decision.dispatch;
