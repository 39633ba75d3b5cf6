package org.cranberrygauge.decision.backend;

/**
 * The requests that a host may send to one server within and after a pause.
 *
 * <p>After the end of a pause the number of requests allowed so far begins with one and doubles in equal steps of time,
 * so that servers whose pauses end together get no step of load. Not thread-safe.
 */
final class SlowStart {

    /** The time in milliseconds in which the number of allowed requests doubles. */
    private static final long DOUBLING_MILLIS = 200;

    /** The number of doublings after which any number of requests is allowed. */
    private static final int DOUBLINGS = 5;

    private long pausedUntilMillis = Long.MIN_VALUE / 2;

    /** The requests sent since the pause was stated last. */
    private long sent;

    /**
     * Moves the end of the pause back; an earlier end than the known one changes nothing.
     *
     * @return Whether the pause ends later than before.
     */
    boolean extendPause(long untilMillis) {
        if (untilMillis <= pausedUntilMillis) {
            return false;
        }
        pausedUntilMillis = untilMillis;
        sent = 0;
        return true;
    }

    void recordSent() {
        sent++;
    }

    /**
     * Returns the monotonic time from which another request is allowed, in milliseconds.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    long fromMillis(long nowMillis) {
        if (nowMillis >= pausedUntilMillis + DOUBLINGS * DOUBLING_MILLIS) {
            return nowMillis;
        }
        int doublings = Long.SIZE - Long.numberOfLeadingZeros(sent);
        return Math.max(nowMillis, pausedUntilMillis + doublings * DOUBLING_MILLIS);
    }
}
