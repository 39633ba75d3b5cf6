/** The replicated state machines, which are advanced entry by entry from the log. */
package org.cranberrygauge.decision.state;
