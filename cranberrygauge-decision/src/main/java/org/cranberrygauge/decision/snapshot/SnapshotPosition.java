package org.cranberrygauge.decision.snapshot;

/**
 * Where the newest whole snapshot stands.
 *
 * @param throughOffset The offset up to which it holds the log; 0 for none.
 * @param appendedAtMillis The time of the log at its last part in milliseconds of the epoch.
 */
public record SnapshotPosition(long throughOffset, long appendedAtMillis) {

    /** No snapshot. */
    private static final SnapshotPosition NONE = new SnapshotPosition(0, 0);

    /**
     * Returns the mark of no snapshot.
     *
     * @return The mark.
     */
    public static SnapshotPosition none() {
        return NONE;
    }
}
