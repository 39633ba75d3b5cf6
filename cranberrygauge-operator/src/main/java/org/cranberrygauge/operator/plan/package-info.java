/** The effect that a change would have on the configuration in force. */
package org.cranberrygauge.operator.plan;
