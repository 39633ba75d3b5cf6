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
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Sends orders for backend servers to the platform.
 *
 * <p>Invariants: an order is sent only after its intent has been read back with the current fencing number, and only
 * while the lease lasts longer than the order timeout. A pool has at most one order in flight. A new lease holder waits
 * for one order timeout before its first order, so that no order of its predecessor is pending, and then relies on what
 * the platform lists. The order rate is bounded, even if a data centre has no supply. Used on the context of the log
 * follower.
 */
public final class OrderDispatcher {

    /** The result of an order that the platform did not answer. */
    private static final String UNKNOWN = "unknown";

    private static final int ORDERS_PER_MINUTE = 60;

    /** The platform's list may omit the effect of an answered order for this long. */
    private static final long MAX_LIST_LAG_MILLIS = 2_000;

    private final String incarnation;

    private final FleetPlanner planner;

    private final LeaderElector leaderElector;

    private final Blackboard blackboard;

    private final LogFollower follower;

    private final ControlAppender appender;

    private final Platform platform;

    private final TimeSource time;

    private final EventLog events;

    private final OrderRateLimiter rateLimiter = new OrderRateLimiter(ORDERS_PER_MINUTE);

    /** Pool sizes that the platform reported in its answers, used until the list has caught up. */
    private final Map<String, ReportedSize> reportedSizes = new HashMap<>();

    private final Set<String> poolsInFlight = new HashSet<>();

    /** The fencing number of the lease for which {@link #waitUntilMillis} was set. */
    private long waitFencingNumber;

    /** The monotonic time until which a new lease holder sends no orders. */
    private long waitUntilMillis;

    private long orderCount;

    public OrderDispatcher(
            String incarnation,
            FleetPlanner planner,
            LeaderElector leaderElector,
            Blackboard blackboard,
            LogFollower follower,
            ControlAppender appender,
            Platform platform,
            TimeSource time,
            EventLog events) {
        this.incarnation = incarnation;
        this.planner = planner;
        this.leaderElector = leaderElector;
        this.blackboard = blackboard;
        this.follower = follower;
        this.appender = appender;
        this.platform = platform;
        this.time = time;
        this.events = events;
    }

    /**
     * Closes orders of former lease holders and appends the intents of orders that are due, while the lease is held.
     *
     * @param demand The demand by model.
     * @param reserve The number of backend servers needed on top of the demand, by model.
     */
    public void tick(LogState state, Map<String, ModelDemand> demand, Map<String, Integer> reserve) {
        long nowMillis = time.monotonicMillis();
        Configuration configuration = state.configuration().current().configuration();
        if (waitFencingNumber != leaderElector.fencingNumber()) {
            waitFencingNumber = leaderElector.fencingNumber();
            waitUntilMillis = nowMillis + configuration.times().orderTimeoutMillis();
            poolsInFlight.clear();
        }
        if (nowMillis < waitUntilMillis) {
            return;
        }
        closeOrdersOfFormerHolders(state);
        platform.backendServers().thenAccept(listed -> {
            blackboard.publish(listed);
            follower.onContext(later -> appendDueIntents(configuration, demand, reserve));
        });
    }

    /** Sends the order of an intent that this controller wrote, once it has been read back. */
    public void accept(ApplyResult result) {
        if (!(result instanceof ApplyResult.IntentResult intentResult)
                || !intentResult.intent().holder().equals(incarnation)) {
            return;
        }
        OrderIntent intent = intentResult.intent();
        long timeoutMillis = blackboard.configuration().times().orderTimeoutMillis();
        boolean leaseLasts = leaderElector.remainingMillis(time.monotonicMillis()) > timeoutMillis;
        if (!intentResult.valid() || !leaseLasts) {
            poolsInFlight.remove(intent.pool());
            events.emit(new ControllerEvents.OrderDropped(intent.orderId(), "lease_over"));
            if (intentResult.valid()) {
                appendOutcome(intent.orderId(), intent.fencingNumber(), "dropped");
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
            Platform.OrderAnswer received = failure == null ? answer : new Platform.OrderAnswer(UNKNOWN, -1);
            follower.onContext(later -> recordOutcome(intent, received));
        });
    }

    private void appendDueIntents(
            Configuration configuration, Map<String, ModelDemand> demand, Map<String, Integer> reserve) {
        long nowMillis = time.monotonicMillis();
        if (!leaderElector.holds(nowMillis)) {
            return;
        }
        FleetView view = new FleetView(
                configuration, poolStates(nowMillis), demand, rateLimiter.unavailable(nowMillis), reserve);
        for (FleetOrder order : planner.decide(nowMillis, view)) {
            if (!poolsInFlight.contains(order.pool()) && rateLimiter.mayOrder(nowMillis, order.pool())) {
                appendIntent(nowMillis, order);
            }
        }
    }

    /**
     * Counts the live and starting backend servers of each pool; a recent answer of the platform overrides its list.
     */
    private Map<String, PoolState> poolStates(long nowMillis) {
        Map<String, PoolState> pools = new HashMap<>();
        for (ListedBackendServer listed : blackboard.listedBackendServers()) {
            if (listed.state() == HostState.LEAVING) {
                continue;
            }
            PoolState before = pools.getOrDefault(listed.pool(), PoolState.NONE);
            boolean live = listed.state() == HostState.LIVE;
            pools.put(listed.pool(), new PoolState(before.live() + (live ? 1 : 0), before.starting() + (live ? 0 : 1)));
        }
        reportedSizes.values().removeIf(size -> size.untilMillis() <= nowMillis);
        reportedSizes.forEach((pool, answer) -> {
            int live = Math.min(
                    answer.count(), pools.getOrDefault(pool, PoolState.NONE).live());
            pools.put(pool, new PoolState(live, answer.count() - live));
        });
        return pools;
    }

    private void appendIntent(long nowMillis, FleetOrder order) {
        OrderIntent intent = new OrderIntent(
                incarnation + "." + (orderCount + 1),
                incarnation,
                leaderElector.fencingNumber(),
                order.pool(),
                order.desiredCount(),
                order.reason());
        appender.append("intent:" + order.pool(), intent).ifPresent(appended -> {
            orderCount++;
            rateLimiter.ordered(nowMillis, order.pool());
            poolsInFlight.add(order.pool());
            appended.onFailure(failure -> follower.onContext(later -> poolsInFlight.remove(order.pool())));
        });
    }

    private void recordOutcome(OrderIntent intent, Platform.OrderAnswer answer) {
        long nowMillis = time.monotonicMillis();
        poolsInFlight.remove(intent.pool());
        if (!answer.result().equals(UNKNOWN)) {
            rateLimiter.ended(nowMillis, intent.pool(), answer.result());
            reportedSizes.put(intent.pool(), new ReportedSize(answer.presentCount(), nowMillis + MAX_LIST_LAG_MILLIS));
        }
        appendOutcome(intent.orderId(), intent.fencingNumber(), answer.result());
        events.emit(new ControllerEvents.OrderEnded(intent.orderId(), answer.result()));
    }

    /** Closes the orders of former lease holders. Their deadline has passed, so the list shows their effect. */
    private void closeOrdersOfFormerHolders(LogState state) {
        for (OrderIntent intent : state.openOrders().values()) {
            if (!intent.holder().equals(incarnation)) {
                appendOutcome(intent.orderId(), leaderElector.fencingNumber(), "superseded");
            }
        }
    }

    private void appendOutcome(String orderId, long fencingNumber, String result) {
        appender.append("outcome:" + orderId, new OrderOutcome(orderId, fencingNumber, result));
    }

    /**
     * The pool size that the platform reported in its answer to an order.
     *
     * @param count The number of backend servers.
     * @param untilMillis The monotonic time until which the count overrides the platform's list.
     */
    private record ReportedSize(int count, long untilMillis) {}
}
