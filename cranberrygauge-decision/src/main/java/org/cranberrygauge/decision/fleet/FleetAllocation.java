package org.cranberrygauge.decision.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.decision.fleet.FleetView.PoolState;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.FleetPool;

/**
 * Divides the backend servers of one model among its pools.
 *
 * <p>Invariants: no pool is below its minimum or above its maximum; cheap servers are spread over data centres; as far
 * as the maxima allow, the servers that remain after an eviction of the data centre with the most cheap servers are
 * enough for the protected classes. The same input gives the same division. Not thread-safe; an instance is used once.
 */
final class FleetAllocation {

    private final List<FleetPool> pools;

    private final FleetView view;

    /** The number of backend servers that are not ordered from the platform. */
    private final int fixed;

    /** The number of backend servers by pool. */
    private final Map<String, Integer> desired = new HashMap<>();

    /**
     * Creates an allocation in which each pool has its minimum.
     *
     * @param fixed The number of backend servers that are not ordered from the platform.
     */
    FleetAllocation(List<FleetPool> pools, FleetView view, int fixed) {
        this.pools = pools;
        this.view = view;
        this.fixed = fixed;
        pools.forEach(pool -> desired.put(pool.name(), pool.minimum()));
    }

    /**
     * Divides the servers among the pools.
     *
     * @param needed The number of servers for all classes.
     * @param protectedNeeded The number of servers that must remain after an eviction of a data centre's cheap servers.
     * @return The number of servers by pool.
     */
    Map<String, Integer> divide(int needed, int protectedNeeded) {
        boolean added = true;
        while (added && totalCount() < needed) {
            added = add(pool -> true);
        }
        added = true;
        while (added && totalCount() - largestCheapCount() < protectedNeeded) {
            int largest = largestCheapCount();
            added = add(pool -> pool.supply() == Supply.REGULAR || cheapCount(pool.dataCentre()) < largest);
        }
        return Map.copyOf(desired);
    }

    /**
     * Adds a server to the best pool that has room.
     *
     * @param eligible Selects the pools to consider.
     * @return {@code true} if a pool had room.
     */
    private boolean add(Predicate<FleetPool> eligible) {
        Optional<FleetPool> best = pools.stream()
                .filter(eligible)
                .filter(this::hasRoom)
                .min(Comparator.comparing(FleetPool::supply, Comparator.reverseOrder())
                        .thenComparingInt(this::countInDataCentre)
                        .thenComparingDouble(FleetPool::costPerHour)
                        .thenComparing(FleetPool::name));
        best.ifPresent(pool -> desired.merge(pool.name(), 1, Integer::sum));
        return best.isPresent();
    }

    /** Returns whether one more server can be ordered for a pool. */
    private boolean hasRoom(FleetPool pool) {
        int count = desired.get(pool.name());
        PoolState state = view.pool(pool.name());
        boolean supplied = !view.unavailable().contains(pool.name()) || count < state.present();
        return count < pool.maximum() && supplied;
    }

    /** Returns the number of cheap servers in a cheap pool's data centre, or the size of a regular pool. */
    private int countInDataCentre(FleetPool pool) {
        return pool.supply() == Supply.CHEAP ? cheapCount(pool.dataCentre()) : desired.get(pool.name());
    }

    /** Returns the number of cheap servers in a data centre. */
    private int cheapCount(String dataCentre) {
        return pools.stream()
                .filter(pool -> pool.supply() == Supply.CHEAP)
                .filter(pool -> pool.dataCentre().equals(dataCentre))
                .mapToInt(pool -> desired.get(pool.name()))
                .sum();
    }

    /** Returns the number of cheap servers in the data centre that has the most of them. */
    private int largestCheapCount() {
        return pools.stream()
                .mapToInt(pool -> cheapCount(pool.dataCentre()))
                .max()
                .orElse(0);
    }

    /** Returns the number of servers, including those that are not ordered. */
    private int totalCount() {
        return fixed + desired.values().stream().mapToInt(Integer::intValue).sum();
    }
}
