package org.cranberrygauge.runtime.blackboard;

/**
 * The position up to which this process has read the log.
 *
 * @param offset The offset of the last applied entry.
 * @param endReadAtMillis The monotonic time before the most recent read that reached the end of the log in
 *     milliseconds.
 */
public record LogPosition(long offset, long endReadAtMillis) {

    /** Returns the greater value of each component. */
    public LogPosition maximum(LogPosition other) {
        return new LogPosition(Math.max(offset, other.offset), Math.max(endReadAtMillis, other.endReadAtMillis));
    }
}
