package org.cranberrygauge.runtime.time;

import java.util.concurrent.TimeUnit;

/** Supplies the current time, which is passed to decision functions as an argument. */
public interface TimeSource {

    /** Returns the monotonic time of this process in milliseconds since an arbitrary origin. */
    long monotonicMillis();

    /** Returns the wall-clock time in milliseconds since the epoch. */
    long wallMillis();

    /** The clocks of the operating system. */
    enum System implements TimeSource {
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
