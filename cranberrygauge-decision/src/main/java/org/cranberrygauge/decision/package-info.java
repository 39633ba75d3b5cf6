/**
 * All decisions as pure code: the current time and randomness are arguments, and nothing performs input or output or
 * starts a thread. Times named {@code nowMillis}, and other times unless stated otherwise, are monotonic times of this
 * process in milliseconds.
 */
package org.cranberrygauge.decision;
