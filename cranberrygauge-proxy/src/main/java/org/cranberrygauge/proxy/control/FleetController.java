package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.FleetLimits;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.leader.BackendOrder;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.ControlPlaneClient.ControlPlaneOutcome;
import org.cranberrygauge.proxy.leader.FleetPlan;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * Follows how many backend servers are needed, and orders them while this host holds the duties.
 *
 * <p>Used by one thread.
 */
public final class FleetController {

    /** The pause between looks in milliseconds. */
    private static final long TICK_MILLIS = 500;

    /** The prompt tokens of running requests that one engine is meant to have. */
    private static final double TOKENS_PER_ENGINE = 45_000;

    /** The requests with short prompts that one engine is meant to have. */
    private static final double SHORT_REQUESTS_PER_ENGINE = 24;

    /** The part of a new measurement of the demand that counts when it is lower. */
    private static final double FALL_PART = 0.05;

    /** The part of a new measurement of the demand that counts when it is higher. */
    private static final double RISE_PART = 0.3;

    /** The tools. */
    private final ControllerContext tools;

    /** Tells whether this host holds the duties. */
    private final LeaderElection duty;

    /** Takes the orders. */
    private final ControlPlaneClient receiver;

    /** The work of this host. */
    private final AtomicReference<Map<String, Work>> ownWork;

    /** The plans by name of the pool. */
    private final Map<String, FleetPlan> plans = new HashMap<>();

    /** The fencing token of the last look, or empty if this host did not hold the duties. */
    private OptionalLong lastToken = OptionalLong.empty();

    /** The smoothed demand by name of the pool, in engines. */
    private final Map<String, Double> demand = new HashMap<>();

    /**
     * Creates a desk.
     *
     * @param tools The tools.
     * @param duty Tells whether this host holds the duties.
     * @param receiver Takes the orders.
     * @param ownWork The work of this host.
     */
    public FleetController(
            ControllerContext tools,
            LeaderElection duty,
            ControlPlaneClient receiver,
            AtomicReference<Map<String, Work>> ownWork) {
        this.tools = tools;
        this.duty = duty;
        this.receiver = receiver;
        this.ownWork = ownWork;
    }

    /** Starts to order. */
    public void start() {
        tools.vertx().setPeriodic(TICK_MILLIS, fired -> tick());
    }

    /** Looks at each pool that can be ordered. */
    private void tick() {
        OptionalLong token = duty.token();
        if (!token.equals(lastToken)) {
            lastToken = token;
            plans.values().forEach(FleetPlan::beginTerm);
        }
        tools.board()
                .configuration()
                .configuration()
                .map(ProxyConfiguration::pools)
                .ifPresent(pools -> pools.values().forEach(pool -> look(pool, token)));
    }

    /**
     * Looks at a pool, and orders if this host holds the duties.
     *
     * @param pool The pool.
     * @param token The fencing token, or empty if another host holds the duties.
     */
    private void look(Pool pool, OptionalLong token) {
        if (pool.fleet().isEmpty()) {
            return;
        }
        FleetLimits limits = pool.fleet().get();
        long now = tools.time().monotonicMillis();
        List<Backend> ready = tools.board().backends().ready(pool.name());
        FleetPlan plan = plans.computeIfAbsent(pool.name(), FleetPlan::new);
        plan.observe(now, limits, ready, demand(pool.name(), ready));
        token.ifPresent(held -> plan.decide(now, limits, ready).forEach(order -> send(plan, order, held)));
    }

    /**
     * Sends an order.
     *
     * @param plan The plan that it comes from.
     * @param order The order.
     * @param token The fencing token.
     */
    private void send(FleetPlan plan, BackendOrder order, long token) {
        duty.acting();
        receiver.order(token, order).onSuccess(answer -> take(plan, order, token, answer));
    }

    /**
     * Takes the answer to an order.
     *
     * @param plan The plan.
     * @param order The order.
     * @param token The fencing token.
     * @param answer The answer.
     */
    private void take(FleetPlan plan, BackendOrder order, long token, ControlPlaneOutcome answer) {
        tools.events()
                .emit(new ControlEvents.BackendsOrdered(
                        order.pool(), order.dataCentre(), order.supply().name(), order.number(), token, answer.name()));
        switch (answer) {
            case ACCEPTED -> {}
            case FENCED -> duty.refused(token);
            case TURNED_AWAY -> plan.orderRejected(tools.time().monotonicMillis(), order);
            default -> plan.orderUnconfirmed(order);
        }
    }

    /**
     * Estimates the number of engines that the present demand needs.
     *
     * @param pool The name of the pool.
     * @param ready The engines that take new work.
     * @return The number.
     */
    private double demand(String pool, List<Backend> ready) {
        double tokens = 0;
        double shortRequests = 0;
        for (Backend backend : ready) {
            Work work = ownWork.get()
                    .getOrDefault(backend.incarnation(), Work.NONE)
                    .plus(tools.board().peers().at(backend.incarnation()));
            tokens += work.heldTokens();
            shortRequests += work.shortRunning();
        }
        double present = tokens / TOKENS_PER_ENGINE + shortRequests / SHORT_REQUESTS_PER_ENGINE;
        double before = demand.getOrDefault(pool, present);
        double smoothed = before + (present - before) * (present > before ? RISE_PART : FALL_PART);
        demand.put(pool, smoothed);
        return smoothed;
    }
}
