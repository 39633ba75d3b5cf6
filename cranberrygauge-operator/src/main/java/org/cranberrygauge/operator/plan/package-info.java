/** What a change would do to the configuration in force. */
package org.cranberrygauge.operator.plan;
