package org.cranberrygauge.gateway.call;

import io.vertx.core.Vertx;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Runs an action once nothing was heard for some time.
 *
 * <p>Used on one context; hearing something costs no timer.
 */
final class InactivityTimer {

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The sources of time. */
    private final TimeSource time;

    /** The time of silence after which the action runs in milliseconds. */
    private final long limitMillis;

    /** The action. */
    private final Runnable action;

    /** The monotonic time at which something was heard last in milliseconds. */
    private long heardAtMillis;

    /** The timer that is set. */
    private long timer;

    /**
     * Creates a timer that is not started.
     *
     * @param vertx The Vert.x instance.
     * @param time The sources of time.
     * @param limitMillis The time of silence after which the action runs in milliseconds.
     * @param action The action.
     */
    InactivityTimer(Vertx vertx, TimeSource time, long limitMillis, Runnable action) {
        this.vertx = vertx;
        this.time = time;
        this.limitMillis = limitMillis;
        this.action = action;
    }

    /** Starts the timer. */
    void start() {
        heard();
        timer = vertx.setTimer(limitMillis, fired -> check());
    }

    /** Notes that something was heard. */
    void heard() {
        heardAtMillis = time.monotonicMillis();
    }

    /** Stops the timer. */
    void stop() {
        vertx.cancelTimer(timer);
    }

    /** Runs the action, or waits for the rest of the time. */
    private void check() {
        long leftMillis = heardAtMillis + limitMillis - time.monotonicMillis();
        if (leftMillis > 0) {
            timer = vertx.setTimer(leftMillis, fired -> check());
            return;
        }
        action.run();
    }
}
