package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.engine.EngineDemand;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.EngineLimits;
import org.cranberrygauge.proxy.configuration.FleetLimits;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.leader.BackendOrder;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.leader.ControlPlaneClient.ControlPlaneOutcome;
import org.cranberrygauge.proxy.leader.FleetPlan;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;

/**
 * Estimates how many backend servers each pool needs, and orders them while this host is the leader. Not thread-safe.
 */
public final class FleetController {

    /** The interval between evaluations. */
    private static final long TICK_MILLIS = 500;

    private final ControllerContext context;

    private final LeaderElection election;

    private final ControlPlaneClient controlPlane;

    /** The load caused by this host, as the request path publishes it. */
    private final AtomicReference<Map<String, Work>> ownWork;

    private final Map<String, FleetPlan> plans = new HashMap<>();

    /** The fencing token at the last evaluation; empty if this host was not the leader. */
    private OptionalLong lastToken = OptionalLong.empty();

    private final Map<String, EngineDemand> demands = new HashMap<>();

    /** @param ownWork The load caused by this host, as the request path publishes it. */
    public FleetController(
            ControllerContext context,
            LeaderElection election,
            ControlPlaneClient controlPlane,
            AtomicReference<Map<String, Work>> ownWork) {
        this.context = context;
        this.election = election;
        this.controlPlane = controlPlane;
        this.ownWork = ownWork;
    }

    public void start() {
        context.vertx().setPeriodic(TICK_MILLIS, fired -> tick());
    }

    /** Evaluates all pools. A change of the token starts a new term. */
    private void tick() {
        OptionalLong token = election.fencingToken();
        if (!token.equals(lastToken)) {
            lastToken = token;
            plans.values().forEach(FleetPlan::beginTerm);
        }
        context.blackboard()
                .configuration()
                .configuration()
                .map(ProxyConfiguration::pools)
                .ifPresent(pools -> pools.values().forEach(pool -> evaluate(pool, token)));
    }

    /**
     * Updates the plan of a pool, and sends its orders if this host is the leader. Evacuated data centres get no orders, and
     * their servers do not count.
     */
    private void evaluate(Pool pool, OptionalLong token) {
        if (pool.fleet().isEmpty()) {
            return;
        }
        FleetLimits limits = pool.fleet().get().without(context.blackboard().evacuated());
        if (limits.dataCentrePrices().isEmpty()) {
            return;
        }
        long now = context.time().monotonicMillis();
        List<Backend> ready = context.blackboard().backends().ready(pool.name());
        FleetPlan plan = plans.computeIfAbsent(pool.name(), FleetPlan::new);
        plan.observe(now, limits, ready, measureDemand(pool, ready));
        token.ifPresent(
                fencingToken -> plan.decide(now, limits, ready).forEach(order -> send(plan, order, fencingToken)));
    }

    private void send(FleetPlan plan, BackendOrder order, long token) {
        election.recordAction();
        controlPlane.order(token, order).onSuccess(outcome -> handleOutcome(plan, order, token, outcome));
    }

    private void handleOutcome(FleetPlan plan, BackendOrder order, long token, ControlPlaneOutcome outcome) {
        context.events()
                .emit(new ControlEvents.BackendsOrdered(
                        order.pool(),
                        order.dataCentre(),
                        order.supply().name(),
                        order.number(),
                        rounded(demand(order.pool()).engines()),
                        plan.size(),
                        rounded(context.blackboard().engineProfile(order.pool()).tokensPerMilli()),
                        token,
                        outcome.name()));
        switch (outcome) {
            case ACCEPTED -> {}
            case FENCED -> election.recordFenced(token);
            case TURNED_AWAY -> plan.orderRejected(context.time().monotonicMillis(), order);
            default -> plan.orderUnconfirmed(order);
        }
    }

    /** Rounds to one decimal place, for the event log. */
    private static double rounded(double value) {
        return Math.round(value * 10) / 10.0;
    }

    private EngineDemand demand(String pool) {
        return demands.computeIfAbsent(pool, name -> new EngineDemand());
    }

    /** Updates the demand of a pool and returns the number of engines that it requires. */
    private double measureDemand(Pool pool, List<Backend> ready) {
        Work total = Work.NONE;
        for (Backend backend : ready) {
            total = total.plus(ownWork.get().getOrDefault(backend.incarnation(), Work.NONE))
                    .plus(context.blackboard().peers().at(backend.incarnation()));
        }
        EngineDemand demand = demand(pool.name());
        demand.update(
                context.blackboard().engineProfile(pool.name()),
                total.heldTokens(),
                total.shortRunning(),
                pool.engine().map(EngineLimits::slots).orElse(1));
        return demand.engines();
    }
}
