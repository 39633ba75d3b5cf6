/**
 * All decisions as pure code: the present time and randomness are arguments, and nothing here does input, output or
 * starts a thread.
 */
package org.cranberrygauge.decision;
