/** Which waiting request starts when, on which backend server, and which running one gives way. */
package org.cranberrygauge.decision.dispatch;
