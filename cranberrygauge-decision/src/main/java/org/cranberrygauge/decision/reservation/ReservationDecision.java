package org.cranberrygauge.decision.reservation;

import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/** What a caller's keyed call is answered with. */
public sealed interface ReservationDecision {

    /** The reservation won its key and the call may be dispatched once. */
    enum Won implements ReservationDecision {
        /** The only instance. */
        INSTANCE
    }

    /** The key is reserved with another body. */
    enum OtherBody implements ReservationDecision {
        /** The only instance. */
        INSTANCE
    }

    /** The call of that key still runs. */
    enum Running implements ReservationDecision {
        /** The only instance. */
        INSTANCE
    }

    /** The outcome of the call of that key is unknown, and it is not run again. */
    enum Unknown implements ReservationDecision {
        /** The only instance. */
        INSTANCE
    }

    /**
     * The call of that key was answered.
     *
     * @param outcome The recorded outcome.
     */
    record Answered(ReservationOutcome outcome) implements ReservationDecision {}
}
