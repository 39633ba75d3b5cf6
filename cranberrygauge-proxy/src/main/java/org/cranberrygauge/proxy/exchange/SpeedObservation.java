package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.exchange.BackendAttempt.BufferedResponse;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.routing.BackendLoad.Placement;

/**
 * Measures one attempt, and records the speed of its server once it has ended normally: a broken or garbled answer says
 * nothing of the server's speed. Not thread-safe.
 */
final class SpeedObservation {

    /** The status from which a response is no success; such responses may take less time than others. */
    private static final int ERROR_STATUS = 300;

    /** The minimum number of arrivals of events whose mean interval is used; fewer say little. */
    private static final int MINIMUM_ARRIVALS = 5;

    private final ExchangeContext context;

    private final Pool pool;

    private final Backend backend;

    private final Placement placement;

    private final long sentMillis;

    private long firstMillis;

    private long lastMillis;

    /** The number of arrivals of one or more events. */
    private int arrivals;

    /** Whether the stream was paused for a slow caller, so that its intervals say nothing of the server. */
    private boolean paused;

    /** @param sentMillis The monotonic time at which the attempt started, in milliseconds. */
    SpeedObservation(ExchangeContext context, Pool pool, Backend backend, Placement placement, long sentMillis) {
        this.context = context;
        this.pool = pool;
        this.backend = backend;
        this.placement = placement;
        this.sentMillis = sentMillis;
    }

    /** Returns the time since the attempt started in milliseconds. */
    long elapsedMillis(long nowMillis) {
        return nowMillis - sentMillis;
    }

    /** Records the arrival of events of a stream. */
    void recordEvents(long nowMillis) {
        if (arrivals == 0) {
            firstMillis = nowMillis;
        }
        lastMillis = nowMillis;
        arrivals++;
    }

    void recordPause() {
        paused = true;
    }

    /** Records that a stream is complete. */
    void recordStreamEnd(long nowMillis) {
        if (arrivals == 0 || pool.engine().isEmpty()) {
            return;
        }
        double intervalMillis =
                paused || arrivals < MINIMUM_ARRIVALS ? 0 : (double) (lastMillis - firstMillis) / (arrivals - 1);
        context.capacity()
                .recordStream(
                        nowMillis,
                        pool.name(),
                        backend.incarnation(),
                        placement.outstanding(),
                        firstMillis - sentMillis,
                        context.profiles().of(pool.name()).firstEventMillis(placement.tokensToFirstEvent()),
                        intervalMillis);
    }

    /** Records a complete response of a plain service. */
    void recordResponse(long nowMillis, BufferedResponse response) {
        if (pool.engine().isPresent() || response.status() >= ERROR_STATUS) {
            return;
        }
        context.capacity()
                .recordResponse(
                        nowMillis,
                        pool.name(),
                        backend.incarnation(),
                        backend.slots(),
                        placement.outstanding(),
                        nowMillis - sentMillis);
    }

    /** Records a failure, of which only a rejection for lack of capacity counts. */
    void recordFailure(long nowMillis, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.NOT_RUN && pool.engine().isEmpty()) {
            context.capacity()
                    .limit(backend.incarnation(), backend.slots())
                    .recordRejection(nowMillis, placement.outstanding() - 1);
        }
    }
}
