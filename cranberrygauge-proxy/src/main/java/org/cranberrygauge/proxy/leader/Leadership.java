package org.cranberrygauge.proxy.leader;

import java.util.OptionalLong;

/** Tells whether this host may act as the leader. Implementations are not thread-safe. */
public interface Leadership {

    /** Returns the fencing token while this host may act as the leader, or empty. */
    OptionalLong fencingToken();

    /** Tells whether this host may become the leader as soon as there is none. */
    boolean isCandidate();

    /**
     * Returns the monotonic time in milliseconds since which this host has reached the shared log without a gap in which a
     * lease ends, or {@link Long#MAX_VALUE} if it has not reached it yet.
     */
    long reachesLogSinceMillis();

    /** Records that this host acts as the leader. */
    void recordAction();

    /** Records that a token was rejected since a higher one had been used. */
    void recordFenced(long fencedToken);
}
