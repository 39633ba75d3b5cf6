package org.cranberrygauge.decision.lease;

import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.LeaseClaim;

/**
 * Decides when this process claims the lease, and whether it holds it.
 *
 * <p>Invariants: the holder counts its lease from before it sent the claim, on its monotonic clock; a claimant waits the
 * full lease and a margin from when it read the last valid claim. So two processes with sound monotonic clocks never
 * hold at once, whatever the log delays. Used by one thread.
 */
public final class LeaseKeeper {

    /** The part of the lease after which the holder renews. */
    private static final int RENEWALS_PER_LEASE = 3;

    /** The part of the lease that a claimant waits beyond the lease, against clocks that run apart. */
    private static final int MARGINS_PER_LEASE = 10;

    /** The incarnation of this process. */
    private final String incarnation;

    /** The host of this process. */
    private final String host;

    /** The length of the lease that this process claims in milliseconds. */
    private final long leaseMillis;

    /** The lease as last read. */
    private LeaseState state = LeaseState.initial();

    /** The monotonic time at which the last valid claim was read. */
    private long readAtMillis;

    /** The monotonic time before the pending claim was sent, or -1 for none. */
    private long pendingSentAtMillis = -1;

    /** The offset named by the pending claim. */
    private long pendingPrevious;

    /** The monotonic time until which this process holds the lease. */
    private long heldUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a keeper.
     *
     * @param incarnation The incarnation of this process.
     * @param host The host of this process.
     * @param leaseMillis The length of the lease in milliseconds.
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public LeaseKeeper(String incarnation, String host, long leaseMillis, long nowMillis) {
        this.incarnation = incarnation;
        this.host = host;
        this.leaseMillis = leaseMillis;
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
     * @return The claim to append, or nothing.
     */
    public Optional<LeaseClaim> decide(long nowMillis) {
        if (pendingSentAtMillis >= 0 && nowMillis - pendingSentAtMillis < leaseMillis / RENEWALS_PER_LEASE) {
            return Optional.empty();
        }
        if (!isDue(nowMillis)) {
            return Optional.empty();
        }
        pendingSentAtMillis = nowMillis;
        pendingPrevious = state.lastClaimOffset();
        return Optional.of(new LeaseClaim(incarnation, host, state.lastClaimOffset(), leaseMillis));
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
     * Starts to hold the lease if the newest valid claim is the pending one.
     *
     * @param read The lease as read.
     */
    private void acceptOwnClaim(LeaseState read) {
        boolean own = read.holder().equals(incarnation) && pendingSentAtMillis >= 0;
        if (own && pendingPrevious == state.lastClaimOffset()) {
            heldUntilMillis = pendingSentAtMillis + leaseMillis;
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
            return remainingMillis(nowMillis) < leaseMillis - leaseMillis / RENEWALS_PER_LEASE;
        }
        return nowMillis - readAtMillis > state.leaseMillis() + state.leaseMillis() / MARGINS_PER_LEASE;
    }
}
