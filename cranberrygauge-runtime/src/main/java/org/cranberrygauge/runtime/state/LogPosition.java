package org.cranberrygauge.runtime.state;

/**
 * How far this process has read the log.
 *
 * @param offset The offset of the last applied entry.
 * @param endReadAtMillis The monotonic time before the read that last reached the log's end.
 */
public record LogPosition(long offset, long endReadAtMillis) {

    /**
     * Takes the greater of each part.
     *
     * @param other The other position.
     * @return The greater position.
     */
    public LogPosition maximum(LogPosition other) {
        return new LogPosition(Math.max(offset, other.offset), Math.max(endReadAtMillis, other.endReadAtMillis));
    }
}
