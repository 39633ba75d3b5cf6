package org.cranberrygauge.decision.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The maximum of the values within a sliding time window.
 *
 * <p>Not thread-safe; confined to one thread.
 */
final class SlidingWindowMaximum {

    /** The length of the window in milliseconds. */
    private final long windowMillis;

    /** The values that may still become the maximum, in falling order. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    SlidingWindowMaximum(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Adds a value and drops those that have left the window.
     *
     * @return The maximum within the window.
     */
    int add(long nowMillis, int value) {
        while (!entries.isEmpty() && entries.peekLast().value() <= value) {
            entries.removeLast();
        }
        entries.addLast(new Entry(nowMillis, value));
        while (entries.peekFirst().atMillis() + windowMillis < nowMillis) {
            entries.removeFirst();
        }
        return entries.peekFirst().value();
    }

    /** A value with the monotonic time at which it was added. */
    private record Entry(long atMillis, int value) {}
}
