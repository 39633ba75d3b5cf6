/** What follows a failed attempt, and the budget that all retries draw on. */
package org.cranberrygauge.proxy.retry;
