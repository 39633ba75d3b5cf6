package org.cranberrygauge.decision.lease;

import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.LeaseRelease;

/**
 * The state of the lease as recorded in the log.
 *
 * <p>Invariants: a claim is valid only if it names the last valid claim, so that all readers of the same log prefix see
 * the same holder; the fencing number is the offset of the claim with which the holder took over, and it never
 * decreases. Immutable and thread-safe.
 *
 * @param lastClaimOffset The offset of the last valid claim; 0 for none.
 * @param fencingNumber The offset of the claim with which the current holder took over; 0 for none.
 * @param holder The incarnation of the holder, or an empty string.
 * @param host The host of the holder, or an empty string.
 * @param leaseMillis The length of the lease in milliseconds.
 * @param released Whether the holder released the lease.
 */
public record LeaseState(
        long lastClaimOffset, long fencingNumber, String holder, String host, long leaseMillis, boolean released) {

    /** Returns the state before any claim. */
    public static LeaseState initial() {
        return new LeaseState(0, 0, "", "", 0, true);
    }

    /**
     * Applies a claim that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @return The state after the claim, or this state if the claim is void.
     */
    public LeaseState apply(long offset, LeaseClaim claim) {
        if (claim.previousOffset() != lastClaimOffset || offset <= lastClaimOffset) {
            return this;
        }
        boolean renewal = claim.holder().equals(holder) && !released;
        long fencing = renewal ? fencingNumber : offset;
        return new LeaseState(offset, fencing, claim.holder(), claim.host(), claim.leaseMillis(), false);
    }

    /**
     * Applies a release that was read from the log.
     *
     * @return The state after the release, or this state if the release is void.
     */
    public LeaseState apply(LeaseRelease release) {
        if (!release.holder().equals(holder) || release.previousOffset() != lastClaimOffset) {
            return this;
        }
        return new LeaseState(lastClaimOffset, fencingNumber, holder, host, leaseMillis, true);
    }
}
