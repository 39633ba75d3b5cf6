package org.cranberrygauge.verification.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with virtual time.
 *
 * <p>Invariants: time never goes back; events of the same time run in the order in which they were added. Not
 * thread-safe.
 */
final class VirtualClock {

    private static final double MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));

    private long nowMicros;

    /** The number of events added so far, which orders events of the same time. */
    private long number;

    long nowMillis() {
        return (long) (nowMicros / MICROS_PER_MILLI);
    }

    double exactMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    /** Schedules an action after a delay. */
    void after(double delayMillis, Runnable action) {
        events.add(new Event(nowMicros + Math.round(delayMillis * MICROS_PER_MILLI), number++, action));
    }

    /** Runs all events up to and including a time. */
    void runUntil(long untilMillis) {
        long untilMicros = Math.round(untilMillis * MICROS_PER_MILLI);
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.remove();
            nowMicros = event.atMicros();
            event.action().run();
        }
    }

    /** A scheduled action; the number orders events of the same time. */
    private record Event(long atMicros, long number, Runnable action) {}
}
