/** Reservations of calls that run at most once. */
package org.cranberrygauge.gateway.reservation;
