package org.cranberrygauge.runtime.time;

import java.util.concurrent.TimeUnit;

/** Gives the present time to executors, which hand it to deciding functions. */
public interface TimeSource {

    /**
     * Returns the monotonic time of this process.
     *
     * @return The time in milliseconds since an arbitrary origin.
     */
    long monotonicMillis();

    /**
     * Returns the time of day.
     *
     * @return The time in milliseconds of the epoch.
     */
    long wallMillis();

    /** The clocks of the operating system. */
    enum System implements TimeSource {
        /** The only instance. */
        INSTANCE;

        @Override
        public long monotonicMillis() {
            return TimeUnit.NANOSECONDS.toMillis(java.lang.System.nanoTime());
        }

        @Override
        public long wallMillis() {
            return java.lang.System.currentTimeMillis();
        }
    }
}
