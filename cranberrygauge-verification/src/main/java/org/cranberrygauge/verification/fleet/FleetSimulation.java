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
 * Steps a planner through a scenario, second by second.
 *
 * <p>Stand-ins, not a simulator: a server gives a fixed number of tokens a second, weights are loaded one server after
 * another, and the classes are served as one stream of tokens each, in the order of their tiers after their guaranteed
 * shares. The same scenario and planner give the same result. Used by one thread and thrown away.
 */
public final class FleetSimulation {

    /** The time between two decisions in seconds. */
    private static final int DECISION_SECONDS = 5;

    /** The time before the first second in which the fleet settles. */
    private static final int WARM_UP_SECONDS = 1_800;

    /** The time after an eviction in which its harm is counted in seconds. */
    private static final int HARM_SECONDS = 600;

    /** The number of milliseconds in a second. */
    private static final long MILLIS = 1_000;

    /** The number of seconds in an hour. */
    private static final double SECONDS_PER_HOUR = 3_600;

    /** The scenario. */
    private final FleetScenario scenario;

    /** The planner. */
    private final FleetPlanner planner;

    /** Bounds the rate of orders, as in the controller. */
    private final OrderRateLimiter pacing = new OrderRateLimiter(60);

    /** The times in seconds at which the servers of each pool are live. */
    private final Map<String, List<Integer>> servers = new HashMap<>();

    /** The streams of the classes. */
    private final List<ClassTokenQueue> streams = new ArrayList<>();

    /** The second from which the weight store is free. */
    private int weightsFreeAt = -WARM_UP_SECONDS;

    /** The cost so far. */
    private double cost;

    /** The tokens given by cheap servers. */
    private double cheapTokens;

    /** The tokens given by all servers. */
    private double servedTokens;

    /** The tokens of protected classes that missed their target after an eviction. */
    private double harmedTokens;

    /** The tokens given in the last second by protected classes. */
    private double protectedRate;

    /** The tokens given in the last second by all classes. */
    private double rate;

    /**
     * Creates a simulation.
     *
     * @param scenario The scenario.
     * @param planner The planner.
     */
    public FleetSimulation(FleetScenario scenario, FleetPlanner planner) {
        this.scenario = scenario;
        this.planner = planner;
        scenario.configuration().classes().forEach(serviceClass -> streams.add(new ClassTokenQueue(serviceClass)));
        scenario.configuration().fleet().forEach(pool -> servers.put(pool.name(), new ArrayList<>()));
    }

    /**
     * Runs the day.
     *
     * @return What was measured.
     */
    public FleetResult run() {
        for (int second = -WARM_UP_SECONDS; second < FleetScenario.SECONDS; second++) {
            evict(second);
            if (Math.floorMod(second, DECISION_SECONDS) == 0) {
                order(second);
            }
            serve(second);
            if (second == -1) {
                streams.forEach(ClassTokenQueue::resetCounts);
                cost = 0;
                cheapTokens = 0;
                servedTokens = 0;
            }
        }
        Map<String, Double> attainment = new HashMap<>();
        streams.forEach(stream -> attainment.put(stream.name(), stream.attainment()));
        return new FleetResult(attainment, cost, cheapTokens / Math.max(1, servedTokens), harmedTokens);
    }

    /**
     * Removes the servers of a data centre that is evicted.
     *
     * @param second The second of the day.
     */
    private void evict(int second) {
        for (FleetPool pool : scenario.configuration().fleet()) {
            if (isEvicted(second, pool)) {
                servers.get(pool.name()).clear();
            }
        }
    }

    /**
     * Tells whether a pool is evicted.
     *
     * @param second The second of the day.
     * @param pool The pool.
     * @return Whether it is.
     */
    private boolean isEvicted(int second, FleetPool pool) {
        return pool.supply() == Supply.CHEAP
                && scenario.evictions().stream()
                        .anyMatch(eviction -> eviction.lastsAt(second)
                                && eviction.dataCentre().equals(pool.dataCentre()));
    }

    /**
     * Lets the planner order.
     *
     * @param second The second of the day.
     */
    private void order(int second) {
        long nowMillis = second * MILLIS;
        Map<String, PoolState> pools = new HashMap<>();
        servers.forEach((pool, liveAt) -> {
            int live = (int) liveAt.stream().filter(at -> at <= second).count();
            pools.put(pool, new PoolState(live, liveAt.size() - live));
        });
        double waiting = streams.stream().mapToDouble(ClassTokenQueue::waiting).sum();
        FleetView view = new FleetView(
                scenario.configuration(),
                pools,
                Map.of("model", new ModelDemand(protectedRate, rate, waiting)),
                pacing.unavailable(nowMillis),
                Map.of());
        for (FleetOrder order : planner.decide(nowMillis, view)) {
            if (pacing.mayOrder(nowMillis, order.pool())) {
                pacing.ordered(nowMillis, order.pool());
                pacing.ended(nowMillis, order.pool(), carryOut(second, order));
            }
        }
    }

    /**
     * Carries out an order.
     *
     * @param second The second of the day.
     * @param order The order.
     * @return The result.
     */
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
            int loaded = Math.max(second, weightsFreeAt)
                    + (int) (scenario.parameters().weightsMillis() / MILLIS);
            weightsFreeAt = loaded;
            present.add(loaded + (int) (scenario.parameters().startMillis() / MILLIS));
        }
        return "done";
    }

    /**
     * Serves one second.
     *
     * @param second The second of the day.
     */
    private void serve(int second) {
        double regular = 0;
        double cheap = 0;
        for (FleetPool pool : scenario.configuration().fleet()) {
            List<Integer> present = servers.get(pool.name());
            double live = present.stream().filter(at -> at <= second).count()
                    * scenario.parameters().tokensPerSecond();
            cost += present.size() * pool.costPerHour() / SECONDS_PER_HOUR;
            regular += pool.supply() == Supply.REGULAR ? live : 0;
            cheap += pool.supply() == Supply.CHEAP ? live : 0;
        }
        double capacity = regular + cheap;
        double left = capacity;
        double missedBefore = protectedMissed();
        for (int index = 0; index < streams.size(); index++) {
            streams.get(index).arrive(second, scenario.demand()[Math.max(0, second)][index]);
        }
        for (ClassTokenQueue stream : streams) {
            left -= stream.serve(second, Math.min(left, capacity * stream.share()));
        }
        for (ClassTokenQueue stream : streams) {
            left -= stream.serve(second, left);
            stream.expire(second);
        }
        rate = capacity - left;
        protectedRate = 0;
        for (int index = 0; index < streams.size(); index++) {
            double served = streams.get(index).takeServed();
            protectedRate += index < streams.size() - 1 ? served : 0;
        }
        servedTokens += rate;
        cheapTokens += capacity == 0 ? 0 : rate * cheap / capacity;
        if (afterEviction(second)) {
            harmedTokens += protectedMissed() - missedBefore;
        }
    }

    /**
     * Tells whether an eviction began lately.
     *
     * @param second The second of the day.
     * @return Whether one did.
     */
    private boolean afterEviction(int second) {
        Set<Integer> starts = new HashSet<>();
        scenario.evictions().forEach(eviction -> starts.add(eviction.fromSecond()));
        return starts.stream().anyMatch(start -> second >= start && second < start + HARM_SECONDS);
    }

    /**
     * Counts the tokens of protected classes that missed their target.
     *
     * @return The tokens.
     */
    private double protectedMissed() {
        return streams.subList(0, streams.size() - 1).stream()
                .mapToDouble(ClassTokenQueue::missed)
                .sum();
    }
}
