package org.cranberrygauge.decision.reservation;

import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/** The decision on a call with an idempotency key. */
public sealed interface ReservationDecision {

    /** The call holds the reservation of its key and may be dispatched once. */
    enum Won implements ReservationDecision {
        INSTANCE
    }

    /** The key is reserved by a call with a different body. */
    enum OtherBody implements ReservationDecision {
        INSTANCE
    }

    /** The call that holds the key is still running. */
    enum Running implements ReservationDecision {
        INSTANCE
    }

    /** The outcome of the call that holds the key is unknown, and the call is not run again. */
    enum Unknown implements ReservationDecision {
        INSTANCE
    }

    /** The call that holds the key was answered. */
    record Answered(ReservationOutcome outcome) implements ReservationDecision {}
}
