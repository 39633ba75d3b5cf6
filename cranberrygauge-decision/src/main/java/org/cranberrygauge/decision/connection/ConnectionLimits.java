package org.cranberrygauge.decision.connection;

/**
 * The limits on the connections that a server has accepted. Immutable.
 *
 * @param idleMillis The time without a request after which a connection is closed, in milliseconds.
 * @param headMillis The time within which the head of a request must be complete once it has begun, in milliseconds.
 * @param maximum The number of connections above which the one that has waited longest for a request is closed.
 */
public record ConnectionLimits(long idleMillis, long headMillis, int maximum) {

    /** The part of the maximum by which it may be exceeded while no connection can be closed, as a divisor. */
    private static final int OVERFLOW_DIVISOR = 8;

    /** Returns the number of connections at which no other one is accepted. */
    public int hardMaximum() {
        return maximum + Math.max(1, maximum / OVERFLOW_DIVISOR);
    }

    /** Returns the number of connections from which callers are asked to close theirs after a response. */
    public int crowdedFrom() {
        return maximum - maximum / OVERFLOW_DIVISOR;
    }
}
