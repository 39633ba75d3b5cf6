package org.cranberrygauge.emulator.replay;

/**
 * A fault that occurs while a trace is replayed.
 *
 * @param fromMillis The start of the fault in milliseconds since the start of the trace.
 * @param untilMillis The end of the fault in milliseconds since the start of the trace.
 * @param subject The affected backend server, data centre, customer or gateway, or an empty string.
 * @param amount The strength, whose meaning depends on the kind.
 */
public record TraceFault(long fromMillis, long untilMillis, Kind kind, String subject, double amount) {

    /** Kinds of faults. */
    public enum Kind {
        /** An engine is slower by the factor given as amount. */
        ENGINE_SLOW,
        /** An engine fails the share of attempts given as amount. */
        ENGINE_FAILING,
        /** All engines of a data centre are evicted. */
        DATA_CENTRE_EVICTED,
        /** Load reports and counts arrive late by the milliseconds given as amount. */
        REPORTS_LATE,
        /** The log accepts no appends. */
        LOG_OUTAGE,
        /** The keys of a customer are withdrawn. */
        KEY_WITHDRAWN,
        /** A gateway is killed and not restarted; the subject is its number from 0. */
        GATEWAY_KILLED
    }

    /**
     * Returns whether the fault is active.
     *
     * @param atMillis The time since the start of the trace in milliseconds.
     */
    public boolean isActiveAt(long atMillis) {
        return atMillis >= fromMillis && atMillis < untilMillis;
    }
}
