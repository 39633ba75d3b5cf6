/** All state machines that follow the log, advanced entry by entry. */
package org.cranberrygauge.decision.state;
