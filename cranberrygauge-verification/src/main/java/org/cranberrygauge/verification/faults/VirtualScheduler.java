package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A stepped clock with the actions that are due.
 *
 * <p>Invariants: actions run in the order of their times, those of one time in the order in which they were added. Used by
 * one thread.
 */
final class VirtualScheduler {

    /** The largest number of lines of the trace. */
    private static final int TRACE_LINES = 400;

    /** The actions that are due. */
    private final PriorityQueue<ScheduledAction> due = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMillis).thenComparingLong(ScheduledAction::number));

    /** What happened. */
    private final List<String> trace = new ArrayList<>();

    /** The present time in milliseconds. */
    private long nowMillis = 1_000;

    /** The number of actions so far. */
    private long number;

    /**
     * Returns the present time.
     *
     * @return The time in milliseconds.
     */
    long now() {
        return nowMillis;
    }

    /**
     * Adds an action.
     *
     * @param delayMillis The time from now in milliseconds.
     * @param action The action.
     */
    void after(long delayMillis, Runnable action) {
        number++;
        due.add(new ScheduledAction(nowMillis + delayMillis, number, action));
    }

    /**
     * Runs all actions up to a time.
     *
     * @param endMillis The time in milliseconds.
     */
    void runUntil(long endMillis) {
        while (!due.isEmpty() && due.peek().atMillis() <= endMillis) {
            ScheduledAction next = due.remove();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = endMillis;
    }

    /**
     * Notes what happened.
     *
     * @param text The text.
     */
    void note(String text) {
        if (trace.size() < TRACE_LINES) {
            trace.add(nowMillis + " ms " + text);
        }
    }

    /**
     * Returns what happened.
     *
     * @return The lines.
     */
    List<String> trace() {
        return List.copyOf(trace);
    }

    /**
     * An action that is due.
     *
     * @param atMillis The time in milliseconds.
     * @param number The number by which actions of one time are ordered.
     * @param action The action.
     */
    private record ScheduledAction(long atMillis, long number, Runnable action) {}
}
