package org.cranberrygauge.verification.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that steps from one event to the next.
 *
 * <p>Invariants: time never goes back; events of the same time run in the order in which they were added. Used by one
 * thread.
 */
final class VirtualClock {

    /** The number of microseconds in a millisecond. */
    private static final double MICROS_PER_MILLI = 1_000;

    /** The events to come. */
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));

    /** The present time in microseconds. */
    private long nowMicros;

    /** The number of events so far. */
    private long number;

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long nowMillis() {
        return (long) (nowMicros / MICROS_PER_MILLI);
    }

    /**
     * Returns the present time with fractions.
     *
     * @return The time in milliseconds.
     */
    double exactMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    /**
     * Adds an event.
     *
     * @param delayMillis The time until it happens in milliseconds.
     * @param action What happens.
     */
    void after(double delayMillis, Runnable action) {
        events.add(new Event(nowMicros + Math.round(delayMillis * MICROS_PER_MILLI), number++, action));
    }

    /**
     * Runs all events up to a time.
     *
     * @param untilMillis The time in milliseconds.
     */
    void runUntil(long untilMillis) {
        long untilMicros = Math.round(untilMillis * MICROS_PER_MILLI);
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.remove();
            nowMicros = event.atMicros();
            event.action().run();
        }
    }

    /**
     * An event to come.
     *
     * @param atMicros The time in microseconds.
     * @param number The position among the events of its time.
     * @param action What happens.
     */
    private record Event(long atMicros, long number, Runnable action) {}
}
