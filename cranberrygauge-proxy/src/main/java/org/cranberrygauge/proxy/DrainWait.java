package org.cranberrygauge.proxy;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cranberrygauge.decision.stop.PlannedStop;

/**
 * Decides when a process that received a stop signal may exit.
 *
 * <p>It stays until the load balancer has certainly noticed and no request is in progress, but at most for the grace
 * period less a reserve. Not thread-safe.
 */
final class DrainWait {

    /** The time within which the load balancer stops sending connections. */
    private static final long BALANCER_NOTICE_MILLIS = 3_200;

    /** The time without a request in progress after which the process may exit. */
    private static final long IDLE_MILLIS = 300;

    /** The part of the grace period that is reserved for the exit itself. */
    private static final long EXIT_RESERVE_MILLIS = 800;

    /** The interval between checks. */
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** The time for which every request is accepted; by then the load balancer sends no more. */
    private static final long ACCEPT_MILLIS = 2_800;

    /** The monotonic time of the stop signal. */
    private final long startMillis;

    /** The monotonic time at which the process exits at the latest. */
    private final long endMillis;

    /** The monotonic time at which a request was last in progress. */
    private long lastActiveMillis;

    DrainWait(long startMillis, long graceMillis) {
        this.startMillis = startMillis;
        this.endMillis = startMillis + graceMillis - EXIT_RESERVE_MILLIS;
        this.lastActiveMillis = startMillis;
    }

    /** Returns what the host still begins. */
    PlannedStop plan() {
        return new PlannedStop(Math.min(startMillis + ACCEPT_MILLIS, endMillis), endMillis);
    }

    /**
     * Tells whether the process may exit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param active The number of requests in progress.
     */
    boolean isOver(long nowMillis, int active) {
        if (active > 0) {
            lastActiveMillis = nowMillis;
        }
        long elapsed = nowMillis - startMillis;
        if (nowMillis >= endMillis) {
            return true;
        }
        return elapsed >= BALANCER_NOTICE_MILLIS && nowMillis - lastActiveMillis >= IDLE_MILLIS;
    }

    /** Blocks until the next check. */
    void pause() {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
    }
}
