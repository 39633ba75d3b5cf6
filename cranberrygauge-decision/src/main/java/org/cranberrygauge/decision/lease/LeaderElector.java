package org.cranberrygauge.decision.lease;

import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.LeaseRelease;

/**
 * Decides when this process claims the lease, and whether it holds the lease.
 *
 * <p>Invariants: the holder counts its lease from before it first sent the claim, on its monotonic clock; a claimant
 * waits for the full lease plus a margin after it read the last valid claim; a process that resigned never holds the
 * lease again. Two processes with sound monotonic clocks therefore never hold the lease at once, however long the log
 * delays entries. Not thread-safe; confined to one thread.
 */
public final class LeaderElector {

    /** The holder renews after the lease divided by this number. */
    private static final int RENEWAL_DIVISOR = 3;

    /**
     * A claimant waits beyond the lease for the lease divided by this number, to tolerate clocks with different rates.
     */
    private static final int MARGIN_DIVISOR = 10;

    private final String incarnation;

    private final String host;

    /** The lease as last read from the log. */
    private LeaseState state = LeaseState.initial();

    /** The monotonic time at which the last valid claim was read, in milliseconds. */
    private long claimReadAtMillis;

    /** The monotonic time before the first of the pending claims was sent, in milliseconds, or -1 for none. */
    private long firstSentAtMillis = -1;

    /** The monotonic time before the last of the pending claims was sent, in milliseconds. */
    private long lastSentAtMillis;

    /** The shortest lease that a pending claim asks for, in milliseconds. */
    private long pendingLeaseMillis;

    /** The offset that the pending claims name as the last valid claim. */
    private long pendingPreviousOffset;

    /** The monotonic time until which this process holds the lease, in milliseconds. */
    private long heldUntilMillis = Long.MIN_VALUE;

    /** Whether this process has given up the lease for good. */
    private boolean resigned;

    public LeaderElector(String incarnation, String host, long nowMillis) {
        this.incarnation = incarnation;
        this.host = host;
        this.claimReadAtMillis = nowMillis;
    }

    /** Updates the elector with the lease as read from the log. */
    public void observe(long nowMillis, LeaseState latest) {
        if (latest.lastClaimOffset() != state.lastClaimOffset()) {
            claimReadAtMillis = nowMillis;
            acceptOwnClaim(latest);
        }
        if (latest.released() || !latest.holder().equals(incarnation)) {
            heldUntilMillis = Long.MIN_VALUE;
        }
        state = latest;
    }

    /**
     * Decides whether to claim or renew the lease now.
     *
     * @param leaseMillis The configured length of the lease in milliseconds.
     * @return The claim to append, or empty if none is due.
     */
    public Optional<LeaseClaim> decide(long nowMillis, long leaseMillis) {
        boolean pending = firstSentAtMillis >= 0;
        if (resigned || pending && nowMillis - lastSentAtMillis < leaseMillis) {
            return Optional.empty();
        }
        if (!pending && !isDue(nowMillis)) {
            return Optional.empty();
        }
        if (!pending) {
            firstSentAtMillis = nowMillis;
            pendingLeaseMillis = leaseMillis;
            pendingPreviousOffset = state.lastClaimOffset();
        }
        lastSentAtMillis = nowMillis;
        pendingLeaseMillis = Math.min(pendingLeaseMillis, leaseMillis);
        heldUntilMillis = Math.min(heldUntilMillis, nowMillis + leaseMillis);
        return Optional.of(new LeaseClaim(incarnation, host, state.lastClaimOffset(), leaseMillis));
    }

    /**
     * Gives up the lease for good, before a planned stop. From now on this process neither holds nor claims the lease.
     *
     * @return The release to append, or empty if the lease is not held.
     */
    public Optional<LeaseRelease> resign(long nowMillis) {
        boolean held = holds(nowMillis);
        resigned = true;
        heldUntilMillis = Long.MIN_VALUE;
        return held ? Optional.of(new LeaseRelease(incarnation, state.lastClaimOffset())) : Optional.empty();
    }

    /** Returns whether this process holds the lease. */
    public boolean holds(long nowMillis) {
        return nowMillis < heldUntilMillis;
    }

    /**
     * Returns the remaining time of the lease.
     *
     * @return The time in milliseconds; 0 if the lease is not held.
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, heldUntilMillis - nowMillis);
    }

    /** Returns the fencing number of the lease as last read. */
    public long fencingNumber() {
        return state.fencingNumber();
    }

    public LeaseState state() {
        return state;
    }

    /**
     * Starts to hold the lease if the newest valid claim is a pending one. It may be any of the pending claims, so the
     * lease counts from the first one sent.
     */
    private void acceptOwnClaim(LeaseState latest) {
        boolean own = latest.holder().equals(incarnation) && firstSentAtMillis >= 0;
        if (own && !resigned && pendingPreviousOffset == state.lastClaimOffset()) {
            heldUntilMillis = firstSentAtMillis + pendingLeaseMillis;
        }
        firstSentAtMillis = -1;
    }

    private boolean isDue(long nowMillis) {
        if (state.released()) {
            return true;
        }
        if (holds(nowMillis)) {
            return remainingMillis(nowMillis) < state.leaseMillis() - state.leaseMillis() / RENEWAL_DIVISOR;
        }
        if (state.holder().equals(incarnation)) {
            return true;
        }
        return nowMillis - claimReadAtMillis > state.leaseMillis() + state.leaseMillis() / MARGIN_DIVISOR;
    }
}
