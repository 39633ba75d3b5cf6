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
 * Orders backend servers for the demand that is expected when they are live, and hands idle ones back.
 *
 * <p>Invariants: a pool shrinks only after its servers were seen idle for the whole idle time without a
 * gap, so not soon after another process took over, and only if the live ones that
 * remain carry the demand, so that nothing is handed back before its replacement is live; a pool that was found without
 * supply gets no larger order while it is backed off from. Used by one thread.
 */
public final class ForecastFleetPlanner implements FleetPlanner {

    /** The time in which requests that wait shall be worked off in milliseconds. */
    private static final double WORK_OFF_MILLIS = 30_000;

    /** The time without a look after which the demand counts as unwatched in milliseconds. */
    private static final long GAP_MILLIS = 30_000;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** What the planner reckons with. */
    private final FleetParameters parameters;

    /** What is remembered of each model. */
    private final Map<String, Memory> memories = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param parameters What the planner reckons with.
     */
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

    /**
     * Decides the pools of one model.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param view What is known.
     * @param model The model.
     * @return The orders.
     */
    private List<FleetOrder> decideModel(long nowMillis, FleetView view, String model) {
        List<FleetPool> pools = view.configuration().fleet().stream()
                .filter(pool -> pool.model().equals(model))
                .toList();
        int fixed = fixedServers(view, model);
        Need need = need(nowMillis, view, model);
        Map<String, Integer> desired =
                new FleetAllocation(pools, view, fixed).divide(need.servers(), need.protectedServers());
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
            } else if (count < state.present() && need.watched()) {
                int liveAfter = live - Math.max(0, state.live() - count);
                if (liveAfter >= Math.max(need.servers(), need.protectedServers())) {
                    live = liveAfter;
                    orders.add(new FleetOrder(pool.name(), count, "idle"));
                }
            }
        }
        return orders;
    }

    /**
     * Works out how many servers a model needs.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param view What is known.
     * @param model The model.
     * @return The need.
     */
    private Need need(long nowMillis, FleetView view, String model) {
        Memory memory = memories.computeIfAbsent(model, name -> new Memory(parameters.idleMillis()));
        ModelDemand demand = view.demandFor(model);
        memory.total.observe(nowMillis, demand.tokensPerSecond());
        memory.protectedOnly.observe(nowMillis, demand.protectedTokensPerSecond());
        long leadMillis = parameters.leadMillis(1);
        double expected = memory.total.after(leadMillis) + demand.waitingTokens() * MILLIS_PER_SECOND / WORK_OFF_MILLIS;
        int servers = parameters.serversFor(expected) + view.reserve().getOrDefault(model, 0);
        int protectedServers = parameters.serversFor(memory.protectedOnly.after(leadMillis));
        memory.watch(nowMillis);
        boolean watched = nowMillis - memory.watchedSinceMillis >= parameters.idleMillis();
        return new Need(
                watched,
                memory.servers.add(nowMillis, servers),
                memory.protectedServers.add(nowMillis, protectedServers));
    }

    /**
     * Counts the backend servers of a model that are not ordered.
     *
     * @param view What is known.
     * @param model The model.
     * @return The number.
     */
    private static int fixedServers(FleetView view, String model) {
        return (int) view.configuration().backendServers().stream()
                .filter(server -> server.kind() == BackendKind.MODEL && server.canServe(model))
                .count();
    }

    /**
     * The servers that a model needs.
     *
     * @param watched Whether the demand was watched for the whole idle time.
     * @param servers The number for all classes.
     * @param protectedServers The number that must remain when a data centre of cheap ones vanishes.
     */
    private record Need(boolean watched, int servers, int protectedServers) {}

    /** What is remembered of a model. */
    private static final class Memory {

        /** The forecast of all classes. */
        private final DemandForecast total = new DemandForecast();

        /** The forecast of the protected classes. */
        private final DemandForecast protectedOnly = new DemandForecast();

        /** The need of all classes in the last while. */
        private final SlidingWindowMaximum servers;

        /** The need of the protected classes in the last while. */
        private final SlidingWindowMaximum protectedServers;

        /** The monotonic time since which the demand is watched without a gap. */
        private long watchedSinceMillis;

        /** The monotonic time of the last look, or -1 for none. */
        private long watchedAtMillis = -1;

        /**
         * Creates an empty memory.
         *
         * @param idleMillis The time for which a server must be idle in milliseconds.
         */
        Memory(long idleMillis) {
            servers = new SlidingWindowMaximum(idleMillis);
            protectedServers = new SlidingWindowMaximum(idleMillis);
        }

        /**
         * Notes a look at the demand.
         *
         * @param nowMillis The present monotonic time in milliseconds.
         */
        void watch(long nowMillis) {
            if (watchedAtMillis < 0 || nowMillis - watchedAtMillis > GAP_MILLIS) {
                watchedSinceMillis = nowMillis;
            }
            watchedAtMillis = nowMillis;
        }
    }
}
