package org.cranberrygauge.emulator.replay;

/**
 * Something that goes wrong while a trace is replayed.
 *
 * @param fromMillis The time since the start of the trace at which it begins in milliseconds.
 * @param untilMillis The time at which it ends in milliseconds.
 * @param kind What goes wrong.
 * @param subject The backend server, data centre, customer or gateway that it happens to, or an empty string.
 * @param amount The strength, whose meaning depends on the kind.
 */
public record TraceFault(long fromMillis, long untilMillis, Kind kind, String subject, double amount) {

    /** The kinds of faults. */
    public enum Kind {
        /** An engine is slower by the factor that the amount gives. */
        ENGINE_SLOW,
        /** An engine fails the share of attempts that the amount gives. */
        ENGINE_FAILING,
        /** All engines of a data centre vanish. */
        DATA_CENTRE_EVICTED,
        /** Loads and counts arrive later by the milliseconds that the amount gives. */
        REPORTS_LATE,
        /** The log takes no appends. */
        LOG_OUTAGE,
        /** The keys of a customer are withdrawn. */
        KEY_WITHDRAWN,
        /** A gateway is killed and does not come back; the subject is its number from 0. */
        GATEWAY_KILLED
    }

    /**
     * Tells whether the fault is on.
     *
     * @param atMillis The time since the start of the trace in milliseconds.
     * @return Whether it is.
     */
    public boolean isOnAt(long atMillis) {
        return atMillis >= fromMillis && atMillis < untilMillis;
    }
}
