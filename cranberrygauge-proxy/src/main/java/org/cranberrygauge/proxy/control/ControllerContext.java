package org.cranberrygauge.proxy.control;

import io.vertx.core.Vertx;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What all controllers use.
 *
 * @param timers Runs actions on the event loop of the controllers.
 * @param random Spreads in time what hosts would do at once.
 * @param blackboard The host state that controllers publish to the request path.
 */
public record ControllerContext(
        Vertx vertx,
        Timers timers,
        TimeSource time,
        RandomGenerator random,
        SharedLog log,
        ProxyBlackboard blackboard,
        EventLog events) {

    /** Creates a context with the timers of Vert.x and without a seed. */
    public ControllerContext(Vertx vertx, TimeSource time, SharedLog log, ProxyBlackboard blackboard, EventLog events) {
        this(
                vertx,
                (millis, action) -> vertx.setTimer(millis, fired -> action.run()),
                time,
                () -> ThreadLocalRandom.current().nextLong(),
                log,
                blackboard,
                events);
    }
}
