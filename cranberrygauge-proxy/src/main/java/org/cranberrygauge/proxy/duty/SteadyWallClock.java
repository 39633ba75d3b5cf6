package org.cranberrygauge.proxy.duty;

/**
 * A time of day that ignores short jumps of the system's clock.
 *
 * <p>A jump counts once it has lasted. Used by one thread at a time.
 */
public final class SteadyWallClock {

    /** The difference from which a change is a jump, in milliseconds. */
    private static final long JUMP_MILLIS = 250;

    /** The time after which a jump counts, in milliseconds. */
    private static final long ACCEPTED_AFTER_MILLIS = 12_000;

    /** The time of day less the monotonic time that counts. */
    private long offsetMillis;

    /** Whether the clock was read before. */
    private boolean started;

    /** The monotonic time at which the present jump was first seen, or -1 if there is none. */
    private long jumpedMillis = -1;

    /**
     * Returns the time of day.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param systemMillis The time of day that the system's clock tells, in milliseconds of the epoch.
     * @return The time of day in milliseconds of the epoch.
     */
    public synchronized long read(long nowMillis, long systemMillis) {
        long offset = systemMillis - nowMillis;
        if (!started) {
            started = true;
            offsetMillis = offset;
        }
        if (Math.abs(offset - offsetMillis) < JUMP_MILLIS) {
            offsetMillis = offset;
            jumpedMillis = -1;
        } else if (jumpedMillis < 0) {
            jumpedMillis = nowMillis;
        } else if (nowMillis - jumpedMillis >= ACCEPTED_AFTER_MILLIS) {
            offsetMillis = offset;
            jumpedMillis = -1;
        }
        return nowMillis + offsetMillis;
    }
}
