package org.cranberrygauge.controller.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.controller.ControlAppender;
import org.cranberrygauge.controller.ControllerEvents;
import org.cranberrygauge.decision.fleet.FleetOrder;
import org.cranberrygauge.decision.fleet.FleetPlanner;
import org.cranberrygauge.decision.fleet.FleetView;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.fleet.FleetView.PoolState;
import org.cranberrygauge.decision.fleet.OrderRateLimiter;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;
import org.cranberrygauge.model.record.LogRecord.OrderOutcome;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Sends orders to the platform.
 *
 * <p>Invariants: an order is sent only after its intent was read back with the fencing number in force, and only while the
 * lease lasts longer than the order's deadline; a pool has at most one order under way; a new holder waits out the longest
 * deadline before it orders, and then goes by what the platform lists; the rate of orders is bounded, also where a data centre
 * has no supply. Used on the context of the log follower.
 */
public final class OrderDispatcher {

    /** The result of an order whose answer did not come. */
    private static final String UNKNOWN = "unknown";

    /** The highest number of orders in a minute. */
    private static final int ORDERS_PER_MINUTE = 60;

    /** The time for which the list of the platform may lag behind an answered order in milliseconds. */
    private static final long LIST_LAG_MILLIS = 2_000;

    /** The incarnation of this controller. */
    private final String incarnation;

    /** Decides the sizes of pools. */
    private final FleetPlanner planner;

    /** Decides whether this controller holds the lease. */
    private final LeaderElector lease;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The follower, on whose context answers are taken. */
    private final LogFollower follower;

    /** The appender. */
    private final ControlAppender appender;

    /** The platform. */
    private final Platform platform;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /** Bounds the rate of orders. */
    private final OrderRateLimiter pacing = new OrderRateLimiter(ORDERS_PER_MINUTE);

    /** The sizes of pools that the platform stated in its answers, where its list may lag. */
    private final Map<String, Answered> answered = new HashMap<>();

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
    public OrderDispatcher(
            String incarnation,
            FleetPlanner planner,
            LeaderElector lease,
            ProcessState blackboard,
            LogFollower follower,
            ControlAppender appender,
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
     * @param demand The demand, by model.
     * @param reserve The number of backend servers that are needed beyond the demand, by model.
     */
    public void tick(LogState state, Map<String, ModelDemand> demand, Map<String, Integer> reserve) {
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
            follower.onContext(later -> plan(configuration, demand, reserve));
        });
    }

    /**
     * Sends an order whose intent was read back.
     *
     * @param effect The effect.
     */
    public void accept(ApplyResult effect) {
        if (!(effect instanceof ApplyResult.IntentResult judged)
                || !judged.intent().holder().equals(incarnation)) {
            return;
        }
        OrderIntent intent = judged.intent();
        long timeoutMillis = blackboard.configuration().times().orderTimeoutMillis();
        boolean lasts = lease.remainingMillis(time.monotonicMillis()) > timeoutMillis;
        if (!judged.valid() || !lasts) {
            busyPools.remove(intent.pool());
            events.emit(new ControllerEvents.OrderDropped(intent.orderId(), "lease_over"));
            if (judged.valid()) {
                close(intent.orderId(), intent.fencingNumber(), "dropped");
            }
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
            Platform.OrderAnswer stated = failure == null ? answer : new Platform.OrderAnswer(UNKNOWN, -1);
            follower.onContext(later -> ended(intent, stated));
        });
    }

    /**
     * Writes the intents of the orders that are due.
     *
     * @param configuration The configuration.
     * @param demand The demand, by model.
     * @param reserve The number of backend servers that are needed beyond the demand, by model.
     */
    private void plan(Configuration configuration, Map<String, ModelDemand> demand, Map<String, Integer> reserve) {
        long nowMillis = time.monotonicMillis();
        if (!lease.holds(nowMillis)) {
            return;
        }
        FleetView view = new FleetView(configuration, pools(nowMillis), demand, pacing.unavailable(nowMillis), reserve);
        for (FleetOrder order : planner.decide(nowMillis, view)) {
            if (!busyPools.contains(order.pool()) && pacing.mayOrder(nowMillis, order.pool())) {
                writeIntent(nowMillis, order);
            }
        }
    }

    /**
     * Counts the backend servers of each pool.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The states by pool.
     */
    private Map<String, PoolState> pools(long nowMillis) {
        Map<String, PoolState> pools = new HashMap<>();
        for (ListedBackendServer listed : blackboard.listed()) {
            if (listed.state() == HostState.LEAVING) {
                continue;
            }
            PoolState before = pools.getOrDefault(listed.pool(), PoolState.NONE);
            boolean live = listed.state() == HostState.LIVE;
            pools.put(listed.pool(), new PoolState(before.live() + (live ? 1 : 0), before.starting() + (live ? 0 : 1)));
        }
        answered.values().removeIf(answer -> answer.untilMillis() <= nowMillis);
        answered.forEach((pool, answer) -> {
            int live = Math.min(
                    answer.count(), pools.getOrDefault(pool, PoolState.NONE).live());
            pools.put(pool, new PoolState(live, answer.count() - live));
        });
        return pools;
    }

    /**
     * Writes the intent of an order.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param order The order.
     */
    private void writeIntent(long nowMillis, FleetOrder order) {
        OrderIntent intent = new OrderIntent(
                incarnation + "." + (orders + 1),
                incarnation,
                lease.fencingNumber(),
                order.pool(),
                order.desiredCount(),
                order.reason());
        appender.append("intent:" + order.pool(), intent).ifPresent(appended -> {
            orders++;
            pacing.ordered(nowMillis, order.pool());
            busyPools.add(order.pool());
            appended.onFailure(failure -> follower.onContext(later -> busyPools.remove(order.pool())));
        });
    }

    /**
     * Records what became of an order.
     *
     * @param intent The intent.
     * @param answer What the platform stated.
     */
    private void ended(OrderIntent intent, Platform.OrderAnswer answer) {
        long nowMillis = time.monotonicMillis();
        busyPools.remove(intent.pool());
        if (!answer.result().equals(UNKNOWN)) {
            pacing.ended(nowMillis, intent.pool(), answer.result());
            answered.put(intent.pool(), new Answered(answer.presentCount(), nowMillis + LIST_LAG_MILLIS));
        }
        close(intent.orderId(), intent.fencingNumber(), answer.result());
        events.emit(new ControllerEvents.OrderEnded(intent.orderId(), answer.result()));
    }

    /**
     * Closes the orders of earlier holders, whose deadline is over; the plan goes by what the platform lists.
     *
     * @param state The state machines.
     */
    private void closeOldOrders(LogState state) {
        for (OrderIntent intent : state.openOrders().values()) {
            if (!intent.holder().equals(incarnation)) {
                close(intent.orderId(), lease.fencingNumber(), "superseded");
            }
        }
    }

    /**
     * Writes the outcome of an order.
     *
     * @param orderId The identifier of the order.
     * @param fencingNumber The fencing number.
     * @param result The result.
     */
    private void close(String orderId, long fencingNumber, String result) {
        appender.append("outcome:" + orderId, new OrderOutcome(orderId, fencingNumber, result));
    }

    /**
     * The size of a pool that the platform stated.
     *
     * @param count The number of backend servers.
     * @param untilMillis The monotonic time until which it goes before the list.
     */
    private record Answered(int count, long untilMillis) {}
}
