package org.cranberrygauge.decision.snapshot;

/**
 * The position of the newest complete snapshot in the log.
 *
 * @param throughOffset The offset up to which the snapshot covers the log; 0 for none.
 * @param appendedAtMillis The log time at its last part in milliseconds since the epoch.
 */
public record SnapshotPosition(long throughOffset, long appendedAtMillis) {

    private static final SnapshotPosition NONE = new SnapshotPosition(0, 0);

    /** Returns the position that stands for no snapshot. */
    public static SnapshotPosition none() {
        return NONE;
    }
}
