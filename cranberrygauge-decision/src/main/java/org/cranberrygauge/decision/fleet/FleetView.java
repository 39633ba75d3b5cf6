package org.cranberrygauge.decision.fleet;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * What the planner knows of the pools and of the demand.
 *
 * @param configuration The configuration in force.
 * @param pools The backend servers that the platform lists or was asked for, by pool.
 * @param demand The demand, by model.
 * @param unavailable The pools that were lately found without supply.
 * @param reserve The number of backend servers that are needed beyond the demand, by model.
 */
public record FleetView(
        Configuration configuration,
        Map<String, PoolState> pools,
        Map<String, ModelDemand> demand,
        Set<String> unavailable,
        Map<String, Integer> reserve) {

    /** Copies the collections. */
    public FleetView {
        pools = Map.copyOf(pools);
        demand = Map.copyOf(demand);
        unavailable = Set.copyOf(unavailable);
        reserve = Map.copyOf(reserve);
    }

    /**
     * Returns the state of a pool.
     *
     * @param pool The name of the pool.
     * @return The state.
     */
    public PoolState pool(String pool) {
        return pools.getOrDefault(pool, PoolState.NONE);
    }

    /**
     * Returns the demand for a model.
     *
     * @param model The model.
     * @return The demand.
     */
    public ModelDemand demandFor(String model) {
        return demand.getOrDefault(model, ModelDemand.NONE);
    }

    /**
     * The backend servers of a pool.
     *
     * @param live The number that is live.
     * @param starting The number that is starting.
     */
    public record PoolState(int live, int starting) {

        /** An empty pool. */
        public static final PoolState NONE = new PoolState(0, 0);

        /**
         * Returns the number that is live or starting.
         *
         * @return The number.
         */
        public int present() {
            return live + starting;
        }
    }

    /**
     * The demand for a model.
     *
     * @param protectedTokensPerSecond The output tokens a second that classes ask for whose target is shorter than the
     *     start of a backend server.
     * @param tokensPerSecond The output tokens a second that all classes ask for.
     * @param waitingTokens The estimated output tokens of the requests that wait.
     */
    public record ModelDemand(double protectedTokensPerSecond, double tokensPerSecond, double waitingTokens) {

        /** No demand. */
        public static final ModelDemand NONE = new ModelDemand(0, 0, 0);
    }
}
