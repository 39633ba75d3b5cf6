package org.cranberrygauge.verification.process;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Polls conditions until they hold or a timeout expires. */
final class Await {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        value(what, () -> condition.getAsBoolean() ? Boolean.TRUE : null);
    }

    static <T> T value(String what, Supplier<T> supplier) {
        long untilNanos = System.nanoTime() + TIMEOUT_NANOS;
        T value = supplier.get();
        while (value == null) {
            if (System.nanoTime() - untilNanos > 0) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
            value = supplier.get();
        }
        return value;
    }
}
