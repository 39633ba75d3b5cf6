package org.cranberrygauge.controller.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.controller.ControllerEvents;
import org.cranberrygauge.decision.fleet.FleetOrder;
import org.cranberrygauge.decision.fleet.FleetPlanner;
import org.cranberrygauge.decision.fleet.FleetView;
import org.cranberrygauge.decision.lease.LeaseKeeper;
import org.cranberrygauge.decision.state.Effect;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;
import org.cranberrygauge.model.record.LogRecord.OrderOutcome;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Sends orders to the platform.
 *
 * <p>Invariants: an order is sent only after its intent was read back with the fencing number in force, and only while the
 * lease lasts longer than the order's deadline; a pool has at most one order under way; a new holder waits out the longest
 * deadline before it orders. Used on the context of the log follower.
 */
public final class OrderDesk {

    /** The incarnation of this controller. */
    private final String incarnation;

    /** Decides the sizes of pools. */
    private final FleetPlanner planner;

    /** Decides whether this controller holds the lease. */
    private final LeaseKeeper lease;

    /** The blackboard. */
    private final Blackboard blackboard;

    /** The follower, on whose context answers are taken. */
    private final LogFollower follower;

    /** The appender. */
    private final LogAppender appender;

    /** The platform. */
    private final Platform platform;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /** The pools with an order under way. */
    private final Set<String> busyPools = new HashSet<>();

    /** The fencing number for which the wait of a new holder runs or ran. */
    private long waitedFencing;

    /** The monotonic time until which a new holder waits. */
    private long waitUntilMillis;

    /** The number of orders so far. */
    private long orders;

    /**
     * Creates a desk.
     *
     * @param incarnation The incarnation of this controller.
     * @param planner Decides the sizes of pools.
     * @param lease Decides whether this controller holds the lease.
     * @param blackboard The blackboard.
     * @param follower The follower, on whose context answers are taken.
     * @param appender The appender.
     * @param platform The platform.
     * @param time The sources of time.
     * @param events The event log.
     */
    public OrderDesk(
            String incarnation,
            FleetPlanner planner,
            LeaseKeeper lease,
            Blackboard blackboard,
            LogFollower follower,
            LogAppender appender,
            Platform platform,
            TimeSource time,
            EventLog events) {
        this.incarnation = incarnation;
        this.planner = planner;
        this.lease = lease;
        this.blackboard = blackboard;
        this.follower = follower;
        this.appender = appender;
        this.platform = platform;
        this.time = time;
        this.events = events;
    }

    /**
     * Orders what is due, while the lease is held.
     *
     * @param state The state machines.
     */
    public void tick(LogState state) {
        long nowMillis = time.monotonicMillis();
        Configuration configuration = state.configuration().current().configuration();
        if (waitedFencing != lease.fencingNumber()) {
            waitedFencing = lease.fencingNumber();
            waitUntilMillis = nowMillis + configuration.times().orderTimeoutMillis();
            busyPools.clear();
        }
        if (nowMillis < waitUntilMillis) {
            return;
        }
        closeOldOrders(state);
        platform.backendServers().thenAccept(listed -> {
            blackboard.publish(listed);
            follower.onContext(later -> plan(configuration));
        });
    }

    /**
     * Sends an order whose intent was read back.
     *
     * @param effect The effect.
     */
    public void accept(Effect effect) {
        if (!(effect instanceof Effect.IntentJudged judged)
                || !judged.intent().holder().equals(incarnation)) {
            return;
        }
        OrderIntent intent = judged.intent();
        long timeoutMillis = blackboard.configuration().times().orderTimeoutMillis();
        if (!judged.valid() || lease.remainingMillis(time.monotonicMillis()) <= timeoutMillis) {
            busyPools.remove(intent.pool());
            events.emit(new ControllerEvents.OrderDropped(intent.orderId(), "lease_over"));
            return;
        }
        Platform.Order order = new Platform.Order(
                intent.orderId(),
                intent.fencingNumber(),
                intent.pool(),
                intent.desiredCount(),
                time.wallMillis() + timeoutMillis);
        events.emit(new ControllerEvents.OrderSent(
                intent.orderId(), intent.pool(), intent.desiredCount(), intent.fencingNumber(), intent.reason()));
        platform.order(order).whenComplete((answer, failure) -> {
            String result = failure == null ? answer.result() : "unknown";
            follower.onContext(later -> ended(intent, result));
        });
    }

    /**
     * Writes the intents of the orders that are due.
     *
     * @param configuration The configuration.
     */
    private void plan(Configuration configuration) {
        if (!lease.holds(time.monotonicMillis())) {
            return;
        }
        Map<String, Integer> ordered = new HashMap<>();
        configuration.fleet().stream().map(FleetPool::name).forEach(pool -> ordered.put(pool, 0));
        for (ListedBackendServer listed : blackboard.listed()) {
            ordered.merge(listed.pool(), 1, Integer::sum);
        }
        for (FleetOrder order : planner.decide(time.monotonicMillis(), new FleetView(configuration, ordered))) {
            if (busyPools.add(order.pool())) {
                orders++;
                appender.append(new OrderIntent(
                        incarnation + "." + orders,
                        incarnation,
                        lease.fencingNumber(),
                        order.pool(),
                        order.desiredCount(),
                        order.reason()));
            }
        }
    }

    /**
     * Records what became of an order.
     *
     * @param intent The intent.
     * @param result The result.
     */
    private void ended(OrderIntent intent, String result) {
        busyPools.remove(intent.pool());
        appender.append(new OrderOutcome(intent.orderId(), intent.fencingNumber(), result));
        events.emit(new ControllerEvents.OrderEnded(intent.orderId(), result));
    }

    /**
     * Closes the orders of earlier holders, whose deadline is over; the plan goes by what the platform lists.
     *
     * @param state The state machines.
     */
    private void closeOldOrders(LogState state) {
        for (OrderIntent intent : state.openOrders().values()) {
            if (!intent.holder().equals(incarnation)) {
                appender.append(new OrderOutcome(intent.orderId(), lease.fencingNumber(), "superseded"));
            }
        }
    }
}
