package org.cranberrygauge.verification.path;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Polls a condition until it holds or a timeout expires. */
final class Await {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Duration POLL = Duration.ofMillis(5);

    private Await() {}

    static void until(String what, Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }
}
