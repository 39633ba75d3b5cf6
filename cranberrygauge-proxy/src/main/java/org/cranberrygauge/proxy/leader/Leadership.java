package org.cranberrygauge.proxy.leader;

import java.util.OptionalLong;

/** Tells whether this host may act as the leader. Implementations are not thread-safe. */
public interface Leadership {

    /** Returns the fencing token while this host may act as the leader, or empty. */
    OptionalLong fencingToken();

    /** Tells whether this host may become the leader as soon as there is none. */
    boolean isCandidate();

    /** Records that this host acts as the leader. */
    void recordAction();

    /** Records that a token was rejected since a higher one had been used. */
    void recordFenced(long fencedToken);
}
