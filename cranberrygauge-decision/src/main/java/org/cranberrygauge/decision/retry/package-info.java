/** Whether a failed request may be tried again. */
package org.cranberrygauge.decision.retry;
