/** Reservations of calls that run at most once, decided by the order of the log. */
package org.cranberrygauge.decision.reservation;
