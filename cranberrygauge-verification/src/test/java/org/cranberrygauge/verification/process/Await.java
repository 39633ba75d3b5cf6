package org.cranberrygauge.verification.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits on conditions, each with a deadline. */
final class Await {

    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(40);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        value(what, () -> condition.getAsBoolean() ? Boolean.TRUE : null);
    }

    static <T> T value(String what, Supplier<T> supplier) {
        long untilNanos = System.nanoTime() + DEADLINE_NANOS;
        T value = supplier.get();
        while (value == null) {
            if (System.nanoTime() - untilNanos > 0) {
                throw new AssertionError("not in time: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
            value = supplier.get();
        }
        return value;
    }
}
