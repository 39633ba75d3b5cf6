package org.cranberrygauge.decision.snapshot;

/** Decides when the lease holder writes the next snapshot. */
public interface SnapshotSchedule {

    /**
     * Returns whether a snapshot is due. The decision uses the time of the log, so that a new holder continues the
     * schedule of the last one.
     *
     * @param logTimeMillis The time of the newest entry in milliseconds since the epoch.
     * @param offset The offset of the newest entry.
     */
    boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest);

    /**
     * Writes a snapshot at a fixed interval while the log grows.
     *
     * <p>Immutable and thread-safe.
     *
     * @param intervalMillis The time between two snapshots in milliseconds. A quarter of the log's retention allows
     *     three attempts before a reader would find no snapshot.
     */
    record Periodic(long intervalMillis) implements SnapshotSchedule {

        @Override
        public boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest) {
            return offset > newest.throughOffset() && logTimeMillis - newest.appendedAtMillis() >= intervalMillis;
        }
    }

    /** Never writes a snapshot. A baseline without protection. */
    enum Disabled implements SnapshotSchedule {
        INSTANCE;

        @Override
        public boolean isDue(long logTimeMillis, long offset, SnapshotPosition newest) {
            return false;
        }
    }
}
