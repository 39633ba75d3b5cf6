package org.cranberrygauge.verification.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.fleet.FleetOrder;
import org.cranberrygauge.decision.fleet.FleetPlanner;
import org.cranberrygauge.decision.fleet.FleetView;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.fleet.FleetView.PoolState;
import org.cranberrygauge.decision.fleet.OrderRateLimiter;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.FleetPool;

/**
 * Simulates a fleet planner through a scenario, second by second.
 *
 * <p>The model is simplified: a backend server gives a fixed number of tokens per second, weights are loaded by one
 * backend server after another, and each class is a single queue of tokens. Classes are served up to their guaranteed
 * shares first, then in the order of their tiers. The same scenario and planner give the same result. Run once, by one
 * thread.
 */
public final class FleetSimulation {

    /** The interval between two decisions of the planner. */
    private static final int DECISION_SECONDS = 5;

    /** The time before the measured day in which the fleet reaches its steady state. */
    private static final int WARM_UP_SECONDS = 1_800;

    /** The time after the start of an eviction in which tokens that miss their target are counted. */
    private static final int AFTER_EVICTION_SECONDS = 600;

    private static final long MILLIS = 1_000;

    private static final double SECONDS_PER_HOUR = 3_600;

    private final FleetScenario scenario;

    private final FleetPlanner planner;

    /** Limits the rate of orders, as in the controller. */
    private final OrderRateLimiter rateLimiter = new OrderRateLimiter(60);

    /** The second at which each backend server becomes live, by pool. */
    private final Map<String, List<Integer>> servers = new HashMap<>();

    private final List<ClassTokenQueue> queues = new ArrayList<>();

    /** The second from which the weight store can serve the next backend server. */
    private int weightsFreeAt = -WARM_UP_SECONDS;

    private double cost;

    /** The tokens served by cheap backend servers. */
    private double cheapTokens;

    /** The tokens served by all backend servers. */
    private double servedTokens;

    /** The tokens of protected classes that missed their target after an eviction. */
    private double missedTokens;

    /** The tokens per second of protected classes, all but the lowest tier, in the last second. */
    private double protectedRate;

    /** The tokens per second of all classes in the last second. */
    private double rate;

    public FleetSimulation(FleetScenario scenario, FleetPlanner planner) {
        this.scenario = scenario;
        this.planner = planner;
        scenario.configuration().classes().forEach(serviceClass -> queues.add(new ClassTokenQueue(serviceClass)));
        scenario.configuration().fleet().forEach(pool -> servers.put(pool.name(), new ArrayList<>()));
    }

    /** Simulates the warm-up and the day, and returns the results of the day. */
    public FleetResult run() {
        for (int second = -WARM_UP_SECONDS; second < FleetScenario.SECONDS; second++) {
            evict(second);
            if (Math.floorMod(second, DECISION_SECONDS) == 0) {
                order(second);
            }
            serve(second);
            if (second == -1) {
                queues.forEach(ClassTokenQueue::resetCounts);
                cost = 0;
                cheapTokens = 0;
                servedTokens = 0;
            }
        }
        Map<String, Double> attainment = new HashMap<>();
        queues.forEach(queue -> attainment.put(queue.name(), queue.attainment()));
        return new FleetResult(attainment, cost, cheapTokens / Math.max(1, servedTokens), missedTokens);
    }

    /** Removes the backend servers of evicted pools. */
    private void evict(int second) {
        for (FleetPool pool : scenario.configuration().fleet()) {
            if (isEvicted(second, pool)) {
                servers.get(pool.name()).clear();
            }
        }
    }

    private boolean isEvicted(int second, FleetPool pool) {
        return pool.supply() == Supply.CHEAP
                && scenario.evictions().stream()
                        .anyMatch(eviction -> eviction.isActiveAt(second)
                                && eviction.dataCentre().equals(pool.dataCentre()));
    }

    /** Lets the planner decide and carries out its orders. */
    private void order(int second) {
        long nowMillis = second * MILLIS;
        Map<String, PoolState> pools = new HashMap<>();
        servers.forEach((pool, liveAt) -> {
            int live = (int)
                    liveAt.stream().filter(liveSecond -> liveSecond <= second).count();
            pools.put(pool, new PoolState(live, liveAt.size() - live));
        });
        double waiting =
                queues.stream().mapToDouble(ClassTokenQueue::queuedTokens).sum();
        FleetView view = new FleetView(
                scenario.configuration(),
                pools,
                Map.of("model", new ModelDemand(protectedRate, rate, waiting)),
                rateLimiter.unavailable(nowMillis),
                Map.of());
        for (FleetOrder order : planner.decide(nowMillis, view)) {
            if (rateLimiter.mayOrder(nowMillis, order.pool())) {
                rateLimiter.ordered(nowMillis, order.pool());
                rateLimiter.ended(nowMillis, order.pool(), carryOut(second, order));
            }
        }
    }

    /** Carries out an order and returns its outcome. */
    private String carryOut(int second, FleetOrder order) {
        FleetPool pool = scenario.configuration().fleet().stream()
                .filter(candidate -> candidate.name().equals(order.pool()))
                .findFirst()
                .orElseThrow();
        List<Integer> present = servers.get(order.pool());
        while (present.size() > order.desiredCount()) {
            present.remove(present.size() - 1);
        }
        if (present.size() < order.desiredCount() && isEvicted(second, pool)) {
            return OrderRateLimiter.UNAVAILABLE;
        }
        while (present.size() < order.desiredCount()) {
            int loadedAt = Math.max(second, weightsFreeAt)
                    + (int) (scenario.parameters().weightsMillis() / MILLIS);
            weightsFreeAt = loadedAt;
            present.add(loadedAt + (int) (scenario.parameters().startMillis() / MILLIS));
        }
        return "done";
    }

    /** Serves one second of demand and updates the results. */
    private void serve(int second) {
        double regular = 0;
        double cheap = 0;
        for (FleetPool pool : scenario.configuration().fleet()) {
            List<Integer> present = servers.get(pool.name());
            double live =
                    present.stream().filter(liveSecond -> liveSecond <= second).count()
                            * scenario.parameters().tokensPerSecond();
            cost += present.size() * pool.costPerHour() / SECONDS_PER_HOUR;
            regular += pool.supply() == Supply.REGULAR ? live : 0;
            cheap += pool.supply() == Supply.CHEAP ? live : 0;
        }
        double capacity = regular + cheap;
        double remaining = capacity;
        double missedBefore = protectedMissed();
        for (int index = 0; index < queues.size(); index++) {
            queues.get(index).arrive(second, scenario.demand()[Math.max(0, second)][index]);
        }
        for (ClassTokenQueue queue : queues) {
            remaining -= queue.serve(second, Math.min(remaining, capacity * queue.guaranteedShare()));
        }
        for (ClassTokenQueue queue : queues) {
            remaining -= queue.serve(second, remaining);
            queue.expire(second);
        }
        rate = capacity - remaining;
        protectedRate = 0;
        for (int index = 0; index < queues.size(); index++) {
            double served = queues.get(index).takeServed();
            protectedRate += index < queues.size() - 1 ? served : 0;
        }
        servedTokens += rate;
        cheapTokens += capacity == 0 ? 0 : rate * cheap / capacity;
        if (afterEviction(second)) {
            missedTokens += protectedMissed() - missedBefore;
        }
    }

    /** Tells whether an eviction began within {@link #AFTER_EVICTION_SECONDS}. */
    private boolean afterEviction(int second) {
        Set<Integer> starts = new HashSet<>();
        scenario.evictions().forEach(eviction -> starts.add(eviction.fromSecond()));
        return starts.stream().anyMatch(start -> second >= start && second < start + AFTER_EVICTION_SECONDS);
    }

    private double protectedMissed() {
        return queues.subList(0, queues.size() - 1).stream()
                .mapToDouble(ClassTokenQueue::missedTarget)
                .sum();
    }
}
