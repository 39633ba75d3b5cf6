package org.cranberrygauge.decision.fleet;

import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * The input of a fleet planner: the state of the pools and the demand.
 *
 * @param configuration The configuration in force.
 * @param pools The backend servers by pool that the platform lists or that were ordered.
 * @param unavailable The pools for which orders recently failed for lack of supply.
 * @param reserve The number of backend servers needed beyond the demand, by model.
 */
public record FleetView(
        Configuration configuration,
        Map<String, PoolState> pools,
        Map<String, ModelDemand> demand,
        Set<String> unavailable,
        Map<String, Integer> reserve) {

    public FleetView {
        pools = Map.copyOf(pools);
        demand = Map.copyOf(demand);
        unavailable = Set.copyOf(unavailable);
        reserve = Map.copyOf(reserve);
    }

    /** Returns the state of a pool; {@link PoolState#NONE} if the pool is unknown. */
    public PoolState pool(String pool) {
        return pools.getOrDefault(pool, PoolState.NONE);
    }

    /** Returns the demand for a model; {@link ModelDemand#NONE} if the model is unknown. */
    public ModelDemand demandFor(String model) {
        return demand.getOrDefault(model, ModelDemand.NONE);
    }

    /** The backend servers of a pool by state. */
    public record PoolState(int live, int starting) {

        /** An empty pool. */
        public static final PoolState NONE = new PoolState(0, 0);

        /** Returns the number of servers that are live or starting. */
        public int present() {
            return live + starting;
        }
    }

    /**
     * The output tokens demanded of a model.
     *
     * @param protectedTokensPerSecond The output tokens per second of classes whose target is shorter than the start of
     *     a backend server.
     * @param tokensPerSecond The output tokens per second of all classes.
     * @param waitingTokens The estimated output tokens of the waiting requests.
     */
    public record ModelDemand(double protectedTokensPerSecond, double tokensPerSecond, double waitingTokens) {

        /** No demand. */
        public static final ModelDemand NONE = new ModelDemand(0, 0, 0);
    }
}
