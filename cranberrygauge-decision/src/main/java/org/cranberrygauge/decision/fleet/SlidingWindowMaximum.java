package org.cranberrygauge.decision.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The greatest of the values of the last while.
 *
 * <p>Used by one thread.
 */
final class SlidingWindowMaximum {

    /** The length of the while in milliseconds. */
    private final long windowMillis;

    /** The values that may still be the greatest, falling. */
    private final Deque<Entry> entries = new ArrayDeque<>();

    /**
     * Creates an empty window.
     *
     * @param windowMillis The length of the while in milliseconds.
     */
    SlidingWindowMaximum(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Takes a value in and returns the greatest.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param value The value.
     * @return The greatest value of the last while.
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

    /**
     * A value.
     *
     * @param atMillis The monotonic time at which it was taken in.
     * @param value The value.
     */
    private record Entry(long atMillis, int value) {}
}
