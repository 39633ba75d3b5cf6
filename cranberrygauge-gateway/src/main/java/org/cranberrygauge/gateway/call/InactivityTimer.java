package org.cranberrygauge.gateway.call;

import io.vertx.core.Vertx;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Runs an action after a period of inactivity.
 *
 * <p>Used on one context. Recording activity does not reset the underlying timer, so that it is cheap to do for each
 * event.
 */
final class InactivityTimer {

    private final Vertx vertx;

    private final TimeSource time;

    /** The period of inactivity after which the action runs in milliseconds. */
    private final long timeoutMillis;

    private final Runnable action;

    private long lastActivityAtMillis;

    private long timer;

    InactivityTimer(Vertx vertx, TimeSource time, long timeoutMillis, Runnable action) {
        this.vertx = vertx;
        this.time = time;
        this.timeoutMillis = timeoutMillis;
        this.action = action;
    }

    void start() {
        recordActivity();
        timer = vertx.setTimer(timeoutMillis, fired -> check());
    }

    void recordActivity() {
        lastActivityAtMillis = time.monotonicMillis();
    }

    void stop() {
        vertx.cancelTimer(timer);
    }

    /** Runs the action, or waits for the remainder if there was activity since the timer was set. */
    private void check() {
        long remainingMillis = lastActivityAtMillis + timeoutMillis - time.monotonicMillis();
        if (remainingMillis > 0) {
            timer = vertx.setTimer(remainingMillis, fired -> check());
            return;
        }
        action.run();
    }
}
