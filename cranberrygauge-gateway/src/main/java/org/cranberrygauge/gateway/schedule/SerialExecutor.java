package org.cranberrygauge.gateway.schedule;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs actions one after another on whichever thread finds none running.
 *
 * <p>Invariants: at most one action runs at a time; actions run in the order in which they were added; no thread waits
 * for another. Safe for use by several threads without locks.
 */
final class SerialExecutor {

    private final Queue<Runnable> actions = new ConcurrentLinkedQueue<>();

    /** The number of actions that are queued or running. */
    private final AtomicInteger pending = new AtomicInteger();

    /** Runs an action, or leaves it to the thread that is running actions now. The action must not throw. */
    void run(Runnable action) {
        actions.add(action);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            actions.remove().run();
        } while (pending.decrementAndGet() != 0);
    }
}
