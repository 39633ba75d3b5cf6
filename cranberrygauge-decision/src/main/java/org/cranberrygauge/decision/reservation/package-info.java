/** Calls that run at most once, decided by the order of reservations in the log. */
package org.cranberrygauge.decision.reservation;
