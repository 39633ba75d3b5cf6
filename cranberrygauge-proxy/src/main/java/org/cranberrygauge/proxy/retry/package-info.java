/** What follows a failed attempt, and the budget that all repeats draw on. */
package org.cranberrygauge.proxy.retry;
