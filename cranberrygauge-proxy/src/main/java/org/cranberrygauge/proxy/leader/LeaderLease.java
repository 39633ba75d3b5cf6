package org.cranberrygauge.proxy.leader;

import java.util.OptionalLong;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.proxy.store.SharedLog.GroupAssignment;

/**
 * Decides whether this host may act as the leader.
 *
 * <p>The host that is assigned the first partition of the group's topic is the leader, and the group generation is its
 * fencing token. Invariants: the leader acts only while its last successful join is within the validity of its
 * membership, by the monotonic and by the wall clock; a host that lost leadership acts again only a whole lease after
 * its last action, so that two leaders never act in alternation within one lease; a process that has just started waits
 * for as long, since it doesn't know what its predecessor did, and so does each host after the shared log has come back
 * from an older copy, which may assign the partition to another member than before; a fenced token is never used again.
 * Not thread-safe.
 */
public final class LeaderLease {

    /** The minimum time between the last action of one term of this host and the first of its next. */
    private final long leaseMillis;

    /** The age of the last join up to which the leader acts. */
    private final long validityMillis;

    private boolean leading;

    private long generation;

    private long token;

    /** The highest token that was rejected; -1 if there is none. */
    private long highestFencedToken = -1;

    /** The monotonic time of the last action. */
    private long lastActionMillis;

    /** The monotonic time of the last action before leadership was lost, or of the process start. */
    private long previousTermActionMillis;

    /** The time at which the last successful join was sent. */
    private Confirmation lastJoin = Confirmation.NONE;

    /**
     * @param startMillis The monotonic time of the process start in milliseconds.
     * @param leaseMillis The time in milliseconds after which a previous leader has certainly stopped.
     * @param validityMillis The age of the last join up to which the leader acts, in milliseconds.
     */
    public LeaderLease(long startMillis, long leaseMillis, long validityMillis) {
        this.previousTermActionMillis = startMillis;
        this.lastActionMillis = startMillis;
        this.leaseMillis = leaseMillis;
        this.validityMillis = validityMillis;
    }

    /**
     * Records a successful join.
     *
     * @param sentMillis The monotonic time at which it was sent, in milliseconds.
     * @param sentWallMillis The wall-clock time at which it was sent, in milliseconds since the epoch.
     */
    public void recordJoin(long sentMillis, long sentWallMillis, GroupAssignment assignment) {
        if (leading && (!assignment.holdsFirst() || !isValid(sentMillis, sentWallMillis))) {
            previousTermActionMillis = lastActionMillis;
        }
        leading = assignment.holdsFirst();
        generation = assignment.generation();
        token = assignment.token();
        lastJoin = new Confirmation(sentMillis, sentWallMillis);
    }

    /**
     * Records that the shared log has come back from an older copy; leadership is to be gained anew.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRollback(long nowMillis) {
        leading = false;
        generation = 0;
        previousTermActionMillis = nowMillis;
        lastActionMillis = nowMillis;
    }

    /**
     * Records that the host acts as the leader.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordAction(long nowMillis) {
        lastActionMillis = nowMillis;
    }

    /** Records that a token was rejected since a higher one had been used. */
    public void recordFenced(long fencedToken) {
        highestFencedToken = Math.max(highestFencedToken, fencedToken);
    }

    /** Returns the generation of the last join; 0 before the first. */
    public long generation() {
        return generation;
    }

    /**
     * Returns the fencing token while the host may act as the leader, or empty.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param nowWallMillis The current wall-clock time in milliseconds since the epoch.
     */
    public OptionalLong fencingToken(long nowMillis, long nowWallMillis) {
        boolean mayLead = leading
                && isValid(nowMillis, nowWallMillis)
                && nowMillis - previousTermActionMillis >= leaseMillis
                && token > highestFencedToken;
        return mayLead ? OptionalLong.of(token) : OptionalLong.empty();
    }

    private boolean isValid(long nowMillis, long nowWallMillis) {
        OptionalLong age = lastJoin.ageMillis(nowMillis, nowWallMillis);
        return age.isPresent() && age.getAsLong() < validityMillis;
    }
}
