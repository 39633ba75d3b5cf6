/** What requests show of the speed of engines. */
package org.cranberrygauge.decision.engine;
