package org.cranberrygauge.proxy.exchange;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.admission.DrainForecast;
import org.cranberrygauge.decision.admission.ReturnSchedule;
import org.cranberrygauge.proxy.admission.RejectReason;

/** The starts of a pool's waiting requests, and the return times of its rejected callers. Not thread-safe. */
final class PoolReturns {

    private final DrainForecast forecast = new DrainForecast();

    private final ReturnSchedule schedule;

    /** @param random Spreads the returns. */
    PoolReturns(RandomGenerator random) {
        schedule = new ReturnSchedule(forecast, random);
    }

    /** Records whether requests wait from now on. */
    void observe(long nowMillis, boolean requestsWait) {
        forecast.observe(nowMillis, requestsWait);
    }

    /** Records that a waiting request starts. */
    void recordStart(long nowMillis, long cost) {
        forecast.recordStart(nowMillis, cost);
    }

    /**
     * Returns how long a rejected caller should wait. The constant of the reason applies if no requests wait, since an
     * empty queue says nothing about the servers, and without observations. Without a server, the wait is at least the
     * constant, since the starts so far were those of servers that are gone.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param waiting The number of requests that wait.
     * @param waitingCost The cost of the requests that wait.
     * @param cost The cost of the rejected request.
     * @param remainingMillis The time until the deadline of the rejected request in milliseconds.
     */
    OptionalLong retryAfterMillis(
            long nowMillis, RejectReason reason, int waiting, long waitingCost, long cost, long remainingMillis) {
        OptionalLong constant = reason.retryAfterMillis();
        boolean forecasted = reason == RejectReason.BACKENDS_FULL
                || reason == RejectReason.BACKENDS_LIMITED
                || reason == RejectReason.NO_BACKEND;
        if (!forecasted || waiting == 0) {
            return constant;
        }
        OptionalLong assigned = schedule.assign(nowMillis, waiting, waitingCost, cost, remainingMillis);
        if (assigned.isEmpty()) {
            return constant;
        }
        return reason == RejectReason.NO_BACKEND
                ? OptionalLong.of(Math.max(assigned.getAsLong(), constant.orElse(0)))
                : assigned;
    }
}
