package org.cranberrygauge.decision.lease;

import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.LeaseRelease;

/**
 * Decides when this process claims the lease, and whether it holds it.
 *
 * <p>Invariants: the holder counts its lease from before it first sent the claim, on its monotonic clock; a claimant waits
 * the full lease and a margin from when it read the last valid claim; a process that resigned never holds again. So two processes with sound monotonic clocks never
 * hold at once, whatever the log delays. Used by one thread.
 */
public final class LeaderElector {

    /** The part of the lease after which the holder renews. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** The part of the lease that a claimant waits beyond the lease, against clocks that run apart. */
    private static final int MARGINS_PER_LEASE = 10;

    /** The incarnation of this process. */
    private final String incarnation;

    /** The host of this process. */
    private final String host;

    /** The lease as last read. */
    private LeaseState state = LeaseState.initial();

    /** The monotonic time at which the last valid claim was read. */
    private long readAtMillis;

    /** The monotonic time before the first of the pending claims was sent, or -1 for none. */
    private long pendingSentAtMillis = -1;

    /** The monotonic time before the last of the pending claims was sent. */
    private long repeatedAtMillis;

    /** The shortest lease that a pending claim asks for in milliseconds. */
    private long pendingLeaseMillis;

    /** The offset named by the pending claims. */
    private long pendingPrevious;

    /** The monotonic time until which this process holds the lease. */
    private long heldUntilMillis = Long.MIN_VALUE;

    /** Whether this process gave the lease up for good. */
    private boolean resigned;

    /**
     * Creates a keeper.
     *
     * @param incarnation The incarnation of this process.
     * @param host The host of this process.
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public LeaderElector(String incarnation, String host, long nowMillis) {
        this.incarnation = incarnation;
        this.host = host;
        this.readAtMillis = nowMillis;
    }

    /**
     * Takes in the lease as read from the log.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param read The lease as read.
     */
    public void observe(long nowMillis, LeaseState read) {
        if (read.lastClaimOffset() != state.lastClaimOffset()) {
            readAtMillis = nowMillis;
            acceptOwnClaim(read);
        }
        if (read.released() || !read.holder().equals(incarnation)) {
            heldUntilMillis = Long.MIN_VALUE;
        }
        state = read;
    }

    /**
     * Decides whether to claim or renew now.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param leaseMillis The length of the lease in force in milliseconds.
     * @return The claim to append, or nothing.
     */
    public Optional<LeaseClaim> decide(long nowMillis, long leaseMillis) {
        boolean pending = pendingSentAtMillis >= 0;
        if (resigned || pending && nowMillis - repeatedAtMillis < leaseMillis) {
            return Optional.empty();
        }
        if (!pending && !isDue(nowMillis)) {
            return Optional.empty();
        }
        if (!pending) {
            pendingSentAtMillis = nowMillis;
            pendingLeaseMillis = leaseMillis;
            pendingPrevious = state.lastClaimOffset();
        }
        repeatedAtMillis = nowMillis;
        pendingLeaseMillis = Math.min(pendingLeaseMillis, leaseMillis);
        heldUntilMillis = Math.min(heldUntilMillis, nowMillis + leaseMillis);
        return Optional.of(new LeaseClaim(incarnation, host, state.lastClaimOffset(), leaseMillis));
    }

    /**
     * Gives the lease up for good, before a planned stop; from here on this process neither holds nor claims it.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The release to append, or nothing if the lease is not held.
     */
    public Optional<LeaseRelease> resign(long nowMillis) {
        boolean held = holds(nowMillis);
        resigned = true;
        heldUntilMillis = Long.MIN_VALUE;
        return held ? Optional.of(new LeaseRelease(incarnation, state.lastClaimOffset())) : Optional.empty();
    }

    /**
     * Tells whether this process holds the lease.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Whether it holds the lease.
     */
    public boolean holds(long nowMillis) {
        return nowMillis < heldUntilMillis;
    }

    /**
     * Returns the time left of the lease.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The time in milliseconds; 0 if the lease is not held.
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, heldUntilMillis - nowMillis);
    }

    /**
     * Returns the fencing number of the lease as last read.
     *
     * @return The fencing number.
     */
    public long fencingNumber() {
        return state.fencingNumber();
    }

    /**
     * Returns the lease as last read.
     *
     * @return The lease.
     */
    public LeaseState state() {
        return state;
    }

    /**
     * Starts to hold the lease if the newest valid claim is a pending one. It may be any of those that were sent, so that
     * the lease is counted from the first.
     *
     * @param read The lease as read.
     */
    private void acceptOwnClaim(LeaseState read) {
        boolean own = read.holder().equals(incarnation) && pendingSentAtMillis >= 0;
        if (own && !resigned && pendingPrevious == state.lastClaimOffset()) {
            heldUntilMillis = pendingSentAtMillis + pendingLeaseMillis;
        }
        pendingSentAtMillis = -1;
    }

    /**
     * Tells whether a claim is due.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Whether it is due.
     */
    private boolean isDue(long nowMillis) {
        if (state.released()) {
            return true;
        }
        if (holds(nowMillis)) {
            return remainingMillis(nowMillis) < state.leaseMillis() - state.leaseMillis() / RENEWALS_PER_LEASE;
        }
        if (state.holder().equals(incarnation)) {
            return true;
        }
        return nowMillis - readAtMillis > state.leaseMillis() + state.leaseMillis() / MARGINS_PER_LEASE;
    }
}
