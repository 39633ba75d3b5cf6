package org.cranberrygauge.decision.reservation;

import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * A reservation that won its key and what is known of its outcome.
 *
 * @param offset The offset of the log entry that reserved it.
 * @param reservation The reservation.
 * @param outcome The outcome, or null while it runs.
 */
public record ReservationState(long offset, Reservation reservation, ReservationOutcome outcome) {

    /**
     * Sets the outcome; the first outcome stays.
     *
     * @param result The outcome.
     * @return The refined state.
     */
    public ReservationState withOutcome(ReservationOutcome result) {
        return outcome == null ? new ReservationState(offset, reservation, result) : this;
    }
}
