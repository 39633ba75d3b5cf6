package org.cranberrygauge.decision.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.fleet.FleetView.PoolState;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.configuration.FleetPool;

/**
 * Orders backend servers for the demand expected when they will be live, and releases idle ones.
 *
 * <p>Invariants: a pool shrinks only after its servers were observed idle for the whole idle time without a gap, hence
 * not soon after another process took over, and only if the remaining live servers carry the demand, so that no server
 * is released before its replacement is live; a pool without supply gets no larger order during its back-off. Not
 * thread-safe; confined to one thread.
 */
public final class ForecastFleetPlanner implements FleetPlanner {

    /** The time in milliseconds within which the waiting requests should be completed. */
    private static final double BACKLOG_DRAIN_MILLIS = 30_000;

    /** The time between two observations, in milliseconds, after which the observation counts as interrupted. */
    private static final long MAXIMUM_OBSERVATION_GAP_MILLIS = 30_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final FleetParameters parameters;

    private final Map<String, ModelHistory> histories = new HashMap<>();

    public ForecastFleetPlanner(FleetParameters parameters) {
        this.parameters = parameters;
    }

    @Override
    public List<FleetOrder> decide(long nowMillis, FleetView view) {
        List<FleetOrder> orders = new ArrayList<>();
        TreeSet<String> models = new TreeSet<>();
        view.configuration().fleet().forEach(pool -> models.add(pool.model()));
        for (String model : models) {
            orders.addAll(decideModel(nowMillis, view, model));
        }
        return orders;
    }

    /** Decides the orders for the pools of one model. */
    private List<FleetOrder> decideModel(long nowMillis, FleetView view, String model) {
        List<FleetPool> pools = view.configuration().fleet().stream()
                .filter(pool -> pool.model().equals(model))
                .toList();
        int fixed = fixedServers(view, model);
        RequiredServers required = required(nowMillis, view, model);
        Map<String, Integer> desired =
                new FleetAllocation(pools, view, fixed).divide(required.servers(), required.protectedServers());
        List<FleetOrder> orders = new ArrayList<>();
        int live = fixed;
        for (FleetPool pool : pools) {
            live += view.pool(pool.name()).live();
        }
        for (FleetPool pool : pools) {
            PoolState state = view.pool(pool.name());
            int count = desired.get(pool.name());
            if (count > state.present() && !view.unavailable().contains(pool.name())) {
                orders.add(new FleetOrder(pool.name(), count, count <= pool.minimum() ? "minimum" : "demand"));
            } else if (count < state.present() && required.observedIdleTime()) {
                int liveAfter = live - Math.max(0, state.live() - count);
                if (liveAfter >= Math.max(required.servers(), required.protectedServers())) {
                    live = liveAfter;
                    orders.add(new FleetOrder(pool.name(), count, "idle"));
                }
            }
        }
        return orders;
    }

    /** Returns how many servers a model needs. */
    private RequiredServers required(long nowMillis, FleetView view, String model) {
        ModelHistory history = histories.computeIfAbsent(model, name -> new ModelHistory(parameters.idleMillis()));
        ModelDemand demand = view.demandFor(model);
        history.total.observe(nowMillis, demand.tokensPerSecond());
        history.protectedOnly.observe(nowMillis, demand.protectedTokensPerSecond());
        long leadMillis = parameters.leadMillis(1);
        double expected =
                history.total.forecast(leadMillis) + demand.waitingTokens() * MILLIS_PER_SECOND / BACKLOG_DRAIN_MILLIS;
        int servers = parameters.serversFor(expected) + view.reserve().getOrDefault(model, 0);
        int protectedServers = parameters.serversFor(history.protectedOnly.forecast(leadMillis));
        history.recordObservation(nowMillis);
        boolean observedIdleTime = nowMillis - history.observedSinceMillis >= parameters.idleMillis();
        return new RequiredServers(
                observedIdleTime,
                history.servers.add(nowMillis, servers),
                history.protectedServers.add(nowMillis, protectedServers));
    }

    /** Returns the number of backend servers of a model that are not ordered from the platform. */
    private static int fixedServers(FleetView view, String model) {
        return (int) view.configuration().backendServers().stream()
                .filter(server -> server.kind() == BackendKind.MODEL && server.canServe(model))
                .count();
    }

    /**
     * The number of servers that a model needs.
     *
     * @param observedIdleTime Whether the demand was observed without a gap for the whole idle time.
     * @param servers The number for all classes.
     * @param protectedServers The number that must remain after an eviction of a data centre's cheap servers.
     */
    private record RequiredServers(boolean observedIdleTime, int servers, int protectedServers) {}

    /** The observations of one model. */
    private static final class ModelHistory {

        /** The forecast for all classes. */
        private final DemandForecast total = new DemandForecast();

        /** The forecast for the protected classes. */
        private final DemandForecast protectedOnly = new DemandForecast();

        /** The servers needed for all classes, at their highest within the idle time. */
        private final SlidingWindowMaximum servers;

        /** The servers needed for the protected classes, at their highest within the idle time. */
        private final SlidingWindowMaximum protectedServers;

        /** The monotonic time in milliseconds since which the demand has been observed without a gap. */
        private long observedSinceMillis;

        /** The monotonic time of the last observation in milliseconds, or -1 for none. */
        private long lastObservedMillis = -1;

        ModelHistory(long idleMillis) {
            servers = new SlidingWindowMaximum(idleMillis);
            protectedServers = new SlidingWindowMaximum(idleMillis);
        }

        /** Records an observation of the demand. */
        void recordObservation(long nowMillis) {
            if (lastObservedMillis < 0 || nowMillis - lastObservedMillis > MAXIMUM_OBSERVATION_GAP_MILLIS) {
                observedSinceMillis = nowMillis;
            }
            lastObservedMillis = nowMillis;
        }
    }
}
