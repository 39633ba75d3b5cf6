package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.hostload.HostLoad;
import org.cranberrygauge.decision.hostload.HostLoad.State;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Measures the delay of the event loop of requests, and decides which new requests are shed while it is overloaded. Used
 * only on that event loop.
 */
public final class LoadShedding {

    /** The interval between samples of the delay. */
    private static final long SAMPLE_INTERVAL_MILLIS = 100;

    private final Vertx vertx;

    private final TimeSource time;

    private final ProxyBlackboard blackboard;

    private final EventLog events;

    private final HostLoad load;

    /** @param random Selects the requests to shed. */
    public LoadShedding(
            Vertx vertx, TimeSource time, ProxyBlackboard blackboard, EventLog events, RandomGenerator random) {
        this.vertx = vertx;
        this.time = time;
        this.blackboard = blackboard;
        this.events = events;
        this.load = new HostLoad(time.monotonicMillis(), random);
    }

    /**
     * Starts the samples. Each timer is set anew by the one before: a periodic timer would fire several times in a row
     * after a freeze, each time late.
     */
    public void start() {
        long expectedMillis = time.monotonicMillis() + SAMPLE_INTERVAL_MILLIS;
        vertx.setTimer(SAMPLE_INTERVAL_MILLIS, fired -> {
            long now = time.monotonicMillis();
            record(now, Math.max(0, now - expectedMillis));
            start();
        });
    }

    /**
     * Decides whether a request is shed before its body is read. A forwarded request has no other host to go to, and a
     * resumed stream has been running. A request with too little time for the pause and its target latency keeps its
     * place, since its caller's retry would come too late.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    boolean mustShed(long nowMillis, Route route, CallerHeaders headers, Forwarding forwarding) {
        boolean resumed =
                headers.firstRequestId().isPresent() || headers.lastEventId().isPresent();
        long retryMillis = RejectReason.HOST_OVERLOADED.retryAfterMillis().orElse(0) + route.targetMillis();
        return !resumed
                && forwarding.from().isEmpty()
                && headers.remainingMillis().orElse(Long.MAX_VALUE) > retryMillis
                && load.mustShed(nowMillis, route.targetMillis(), blackboard.otherHosts());
    }

    /** Applies a sample of the delay, and publishes the result. */
    void record(long nowMillis, long delayMillis) {
        State previous = load.state();
        load.setLowestTarget(lowestTargetMillis());
        load.record(nowMillis, delayMillis);
        blackboard.publishLoopDelay(load.delayMillis());
        if (load.state() != previous) {
            events.emit(new ExchangeEvents.HostLoadChanged(
                    previous.name(), load.state().name(), load.delayMillis().orElse(-1)));
        }
    }

    private long lowestTargetMillis() {
        return blackboard
                .configuration()
                .configuration()
                .map(ProxyConfiguration::lowestTargetMillis)
                .orElse(0L);
    }
}
