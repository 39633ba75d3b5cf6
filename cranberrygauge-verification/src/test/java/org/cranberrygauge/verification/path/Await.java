package org.cranberrygauge.verification.path;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for a condition, for a bounded time. */
final class Await {

    private static final Duration LIMIT = Duration.ofSeconds(20);

    private static final Duration POLL = Duration.ofMillis(5);

    private Await() {}

    static void until(String what, Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + LIMIT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("not in time: " + what);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }
}
