package org.cranberrygauge.proxy.leader;

import java.util.OptionalLong;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.SharedLog.GroupAssignment;

/**
 * Decides whether this host may act for all.
 *
 * <p>The host that holds the first part of a group's topic holds the duties, and the generation in which it holds it is its
 * fencing token. Invariants: it acts only while its last successful join is younger than the lifetime of its membership, by
 * the monotonic clock and by the time of day; after it lost the duties, it acts again only once a whole lease has passed since
 * its last act, so that two holders never act by turns within a lease; a process that has just started waits as long, since
 * it doesn't know what the process before it did; a token that was refused is never used again. Used by one thread.
 */
public final class LeaderLease {

    /** The time between an act before the duties were lost and one after they came back, in milliseconds. */
    private final long leaseMillis;

    /** The age of the last join up to which the holder acts, in milliseconds. */
    private final long validMillis;

    /** Whether the part is held. */
    private boolean held;

    /** The generation. */
    private long generation;

    /** The highest token that was refused. */
    private long refused = -1;

    /** The monotonic time of the last act. */
    private long actedMillis;

    /** The monotonic time of the last act before the duties were lost, or of the start. */
    private long earlierActMillis;

    /** The time at which the last successful join was sent. */
    private Confirmation joined = Confirmation.NONE;

    /**
     * Creates a lease.
     *
     * @param startMillis The monotonic time of the start of the process in milliseconds.
     * @param leaseMillis The time between an act before the duties were lost and one after, in milliseconds.
     * @param validMillis The age of the last join up to which the holder acts, in milliseconds.
     */
    public LeaderLease(long startMillis, long leaseMillis, long validMillis) {
        this.earlierActMillis = startMillis;
        this.actedMillis = startMillis;
        this.leaseMillis = leaseMillis;
        this.validMillis = validMillis;
    }

    /**
     * Notes a successful join.
     *
     * @param sentMillis The monotonic time at which it was sent, in milliseconds.
     * @param sentWallMillis The time of day at which it was sent, in milliseconds of the epoch.
     * @param share What the host holds.
     */
    public void joined(long sentMillis, long sentWallMillis, GroupAssignment share) {
        if (held && (!share.holdsFirst() || !isValid(sentMillis, sentWallMillis))) {
            earlierActMillis = actedMillis;
        }
        held = share.holdsFirst();
        generation = share.generation();
        joined = new Confirmation(sentMillis, sentWallMillis);
    }

    /**
     * Notes an act.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void acted(long nowMillis) {
        actedMillis = nowMillis;
    }

    /**
     * Notes that a token was refused since a higher one had been used.
     *
     * @param token The token.
     */
    public void refused(long token) {
        refused = Math.max(refused, token);
    }

    /**
     * Returns the generation of the last join.
     *
     * @return The generation, or 0 before the first join.
     */
    public long generation() {
        return generation;
    }

    /**
     * Returns the fencing token while the host may act.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param nowWallMillis The present time of day in milliseconds of the epoch.
     * @return The token, or nothing if the host may not act.
     */
    public OptionalLong token(long nowMillis, long nowWallMillis) {
        boolean mayAct = held
                && isValid(nowMillis, nowWallMillis)
                && nowMillis - earlierActMillis >= leaseMillis
                && generation > refused;
        return mayAct ? OptionalLong.of(generation) : OptionalLong.empty();
    }

    /**
     * Tells whether the last join is recent.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param nowWallMillis The present time of day in milliseconds of the epoch.
     * @return Whether it is recent.
     */
    private boolean isValid(long nowMillis, long nowWallMillis) {
        OptionalLong age = joined.ageMillis(nowMillis, nowWallMillis);
        return age.isPresent() && age.getAsLong() < validMillis;
    }
}
