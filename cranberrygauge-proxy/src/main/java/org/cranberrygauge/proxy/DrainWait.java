package org.cranberrygauge.proxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Decides when a process that was told to stop may end.
 *
 * <p>It stays until the balancer has surely noticed, until no request is in progress, and at most for the grace period less
 * a reserve. Used by one thread.
 */
final class DrainWait {

    /** The time within which the balancer stops to send connections, in milliseconds. */
    private static final long BALANCER_MILLIS = 3_200;

    /** The time without a request after which the process ends, in milliseconds. */
    private static final long QUIET_MILLIS = 300;

    /** The part of the grace period that is kept for the end itself, in milliseconds. */
    private static final long RESERVE_MILLIS = 800;

    /** The pause between looks in milliseconds. */
    private static final long PAUSE_MILLIS = 50;

    /** The monotonic time of the order to stop. */
    private final long startMillis;

    /** The grace period in milliseconds. */
    private final long graceMillis;

    /** The monotonic time at which a request was last in progress. */
    private long busyMillis;

    /**
     * Creates a wait.
     *
     * @param startMillis The monotonic time of the order to stop.
     * @param graceMillis The grace period in milliseconds.
     */
    DrainWait(long startMillis, long graceMillis) {
        this.startMillis = startMillis;
        this.graceMillis = graceMillis;
        this.busyMillis = startMillis;
    }

    /**
     * Decides whether the process may end.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param active The requests in progress.
     * @return Whether it may end.
     */
    boolean isOver(long nowMillis, int active) {
        if (active > 0) {
            busyMillis = nowMillis;
        }
        long elapsed = nowMillis - startMillis;
        if (elapsed >= graceMillis - RESERVE_MILLIS) {
            return true;
        }
        return elapsed >= BALANCER_MILLIS && nowMillis - busyMillis >= QUIET_MILLIS;
    }

    /** Waits until the next look. */
    void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
    }
}
