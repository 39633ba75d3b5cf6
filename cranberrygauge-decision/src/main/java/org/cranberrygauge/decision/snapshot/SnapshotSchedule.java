package org.cranberrygauge.decision.snapshot;

/** Decides when the lease holder writes the next snapshot. */
public interface SnapshotSchedule {

    /**
     * Decides whether a snapshot is due, by the time of the log, so that a new holder goes on where the last one stopped.
     *
     * @param logTimeMillis The time of the newest entry in milliseconds of the epoch.
     * @param offset The offset of the newest entry.
     * @param newest The newest whole snapshot.
     * @return Whether a snapshot is due.
     */
    boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest);

    /**
     * Writes a snapshot each time the log has grown for an interval.
     *
     * <p>Immutable and safe for use by several threads.
     *
     * @param intervalMillis The time between two snapshots in milliseconds; a quarter of the log's retention leaves three
     *     tries before a reader finds none.
     */
    record Periodic(long intervalMillis) implements SnapshotSchedule {

        @Override
        public boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest) {
            return offset > newest.throughOffset() && logTimeMillis - newest.appendedAtMillis() >= intervalMillis;
        }
    }

    /** Never writes a snapshot, which is the baseline without protection. */
    enum Disabled implements SnapshotSchedule {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest) {
            return false;
        }
    }
}
