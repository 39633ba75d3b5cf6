/** Retry budgets: whether a failed request may be retried. */
package org.cranberrygauge.decision.retry;
