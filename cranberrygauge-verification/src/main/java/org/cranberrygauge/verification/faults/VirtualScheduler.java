package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A discrete-event scheduler with virtual time, and the trace of a run.
 *
 * <p>Invariants: actions run in the order of their times, those of the same time in the order in which they were
 * added. Not thread-safe.
 */
final class VirtualScheduler {

    /** The maximum number of lines in the trace. */
    private static final int TRACE_LINES = 400;

    private final PriorityQueue<ScheduledAction> due = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::atMillis).thenComparingLong(ScheduledAction::number));

    private final List<String> trace = new ArrayList<>();

    private long nowMillis = 1_000;

    /** The number of actions added so far, which orders actions of the same time. */
    private long number;

    long now() {
        return nowMillis;
    }

    /** Schedules an action after a delay. */
    void after(long delayMillis, Runnable action) {
        number++;
        due.add(new ScheduledAction(nowMillis + delayMillis, number, action));
    }

    /** Runs all actions up to and including a time. */
    void runUntil(long endMillis) {
        while (!due.isEmpty() && due.peek().atMillis() <= endMillis) {
            ScheduledAction next = due.remove();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = endMillis;
    }

    /** Adds a line to the trace. */
    void trace(String text) {
        if (trace.size() < TRACE_LINES) {
            trace.add(nowMillis + " ms " + text);
        }
    }

    List<String> trace() {
        return List.copyOf(trace);
    }

    /** A scheduled action; the number orders actions of the same time. */
    private record ScheduledAction(long atMillis, long number, Runnable action) {}
}
