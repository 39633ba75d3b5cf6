package org.cranberrygauge.decision.lease;

import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.LeaseRelease;

/**
 * The lease as it stands in the log.
 *
 * <p>Invariants: a claim is valid only if it names the last valid claim, so that every reader of the same prefix sees the
 * same holder; the fencing number is the offset of the claim with which the holder took over, and it never falls.
 * Immutable and safe for use by several threads.
 *
 * @param lastClaimOffset The offset of the last valid claim; 0 for none.
 * @param fencingNumber The offset of the claim with which the present holder took over; 0 for none.
 * @param holder The incarnation of the holder, or an empty string.
 * @param host The host of the holder, or an empty string.
 * @param leaseMillis The length of the lease in milliseconds.
 * @param released Whether the holder gave the lease back.
 */
public record LeaseState(
        long lastClaimOffset, long fencingNumber, String holder, String host, long leaseMillis, boolean released) {

    /**
     * Returns the state before any claim.
     *
     * @return The initial state.
     */
    public static LeaseState initial() {
        return new LeaseState(0, 0, "", "", 0, true);
    }

    /**
     * Applies a claim that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @param claim The claim.
     * @return The state after the claim, which is this state if the claim is void.
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
     * @param release The release.
     * @return The state after the release.
     */
    public LeaseState apply(LeaseRelease release) {
        if (!release.holder().equals(holder) || release.previousOffset() != lastClaimOffset) {
            return this;
        }
        return new LeaseState(lastClaimOffset, fencingNumber, holder, host, leaseMillis, true);
    }
}
