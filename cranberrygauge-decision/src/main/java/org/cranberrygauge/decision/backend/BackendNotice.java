package org.cranberrygauge.decision.backend;

import java.util.OptionalDouble;

/** A change of what a backend server states of itself. Immutable. */
public sealed interface BackendNotice {

    /**
     * The server states another limit than before.
     *
     * @param perSecond The requests per second; empty if it takes any rate.
     */
    record LimitChanged(OptionalDouble perSecond) implements BackendNotice {}

    /** The server states for the first time that it leaves. */
    record LeavingStated() implements BackendNotice {}

    /**
     * The server asks this host for a pause while none is in force.
     *
     * @param untilMillis The monotonic time of the end in milliseconds.
     */
    record PauseStated(long untilMillis) implements BackendNotice {}

    /** The server has made a statement that can't be read, for the first time. */
    record StatementMalformed() implements BackendNotice {}
}
