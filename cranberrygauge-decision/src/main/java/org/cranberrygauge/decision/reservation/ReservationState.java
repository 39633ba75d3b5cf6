package org.cranberrygauge.decision.reservation;

import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * A reservation that won its key and what is known of its outcome.
 *
 * @param offset The offset of the log entry that reserved it.
 * @param appendedAtMillis The time at which the log took that entry in milliseconds of the epoch.
 * @param reservation The reservation.
 * @param outcome The outcome, or null while it runs.
 */
public record ReservationState(
        long offset, long appendedAtMillis, Reservation reservation, ReservationOutcome outcome) {

    /**
     * Sets the outcome; the first stays, but that an answer replaces an unknown outcome.
     *
     * @param result The outcome.
     * @return The refined state.
     */
    public ReservationState withOutcome(ReservationOutcome result) {
        boolean unknown = outcome == null || outcome.disposition() == Disposition.UNKNOWN;
        return unknown ? new ReservationState(offset, appendedAtMillis, reservation, result) : this;
    }
}
