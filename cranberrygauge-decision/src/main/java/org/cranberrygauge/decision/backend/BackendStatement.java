package org.cranberrygauge.decision.backend;

import java.util.OptionalLong;

/**
 * What one response of a backend server states about the server itself. Immutable.
 *
 * @param rate The rate of requests that it takes from all hosts together.
 * @param leaving Whether it is about to leave and takes no new requests.
 * @param pauseMillis The time in milliseconds for which it wants no requests from the host that it responds to.
 * @param malformed Whether a part of the statement could not be read.
 */
public record BackendStatement(RateStatement rate, boolean leaving, OptionalLong pauseMillis, boolean malformed) {

    /** The statement of a response that says nothing about its server. */
    public static final BackendStatement NONE =
            new BackendStatement(RateStatement.Standard.UNLIMITED, false, OptionalLong.empty(), false);

    public BackendStatement withRate(RateStatement stated) {
        return new BackendStatement(stated, leaving, pauseMillis, malformed);
    }

    /** Returns the statement of a server that leaves. */
    public BackendStatement withLeaving() {
        return new BackendStatement(rate, true, pauseMillis, malformed);
    }

    /** @param millis The time for which the server wants no requests, in milliseconds. */
    public BackendStatement withPause(long millis) {
        return new BackendStatement(rate, leaving, OptionalLong.of(millis), malformed);
    }
}
