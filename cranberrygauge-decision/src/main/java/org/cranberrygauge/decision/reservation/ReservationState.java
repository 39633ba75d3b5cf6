package org.cranberrygauge.decision.reservation;

import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * A reservation that holds its key, with its outcome as far as it is known.
 *
 * @param offset The offset of the log entry that made the reservation.
 * @param appendedAtMillis The time at which the log accepted that entry, in milliseconds since the epoch.
 * @param outcome The outcome, or {@code null} while the call is running.
 */
public record ReservationState(
        long offset, long appendedAtMillis, Reservation reservation, ReservationOutcome outcome) {

    /** Sets the outcome. The first outcome is final, except that any outcome replaces an unknown one. */
    public ReservationState withOutcome(ReservationOutcome result) {
        boolean unknown = outcome == null || outcome.disposition() == Disposition.UNKNOWN;
        return unknown ? new ReservationState(offset, appendedAtMillis, reservation, result) : this;
    }
}
