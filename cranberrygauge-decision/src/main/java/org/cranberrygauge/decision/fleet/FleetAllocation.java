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
 * <p>Invariants: no pool goes below its minimum or above its maximum; cheap servers are spread over data centres; where the
 * maxima allow, those that remain when the data centre with most cheap servers vanishes are enough for the protected
 * classes. The same input gives the same division. Used by one thread and thrown away.
 */
final class FleetAllocation {

    /** The pools of the model. */
    private final List<FleetPool> pools;

    /** What is known of the pools. */
    private final FleetView view;

    /** The number of backend servers that are not ordered. */
    private final int fixed;

    /** The number of backend servers by pool. */
    private final Map<String, Integer> desired = new HashMap<>();

    /**
     * Creates an allocation that has the minimum of each pool.
     *
     * @param pools The pools of the model.
     * @param view What is known of the pools.
     * @param fixed The number of backend servers that are not ordered.
     */
    FleetAllocation(List<FleetPool> pools, FleetView view, int fixed) {
        this.pools = pools;
        this.view = view;
        this.fixed = fixed;
        pools.forEach(pool -> desired.put(pool.name(), pool.minimum()));
    }

    /**
     * Divides the servers.
     *
     * @param needed The number of servers for all classes.
     * @param protectedNeeded The number of servers that must remain when a data centre of cheap ones vanishes.
     * @return The number of servers by pool.
     */
    Map<String, Integer> divide(int needed, int protectedNeeded) {
        boolean grown = true;
        while (grown && total() < needed) {
            grown = add(pool -> true);
        }
        grown = true;
        while (grown && total() - largestCheapDataCentre() < protectedNeeded) {
            int largest = largestCheapDataCentre();
            grown = add(pool -> pool.supply() == Supply.REGULAR || cheapIn(pool.dataCentre()) < largest);
        }
        return Map.copyOf(desired);
    }

    /**
     * Adds a server to the best pool that has room.
     *
     * @param wanted The pools that come into question.
     * @return Whether a server was added.
     */
    private boolean add(Predicate<FleetPool> wanted) {
        Optional<FleetPool> best = pools.stream()
                .filter(wanted)
                .filter(this::hasRoom)
                .min(Comparator.comparing(FleetPool::supply, Comparator.reverseOrder())
                        .thenComparingInt(this::inDataCentre)
                        .thenComparingDouble(FleetPool::costPerHour)
                        .thenComparing(FleetPool::name));
        best.ifPresent(pool -> desired.merge(pool.name(), 1, Integer::sum));
        return best.isPresent();
    }

    /**
     * Tells whether a pool can get a server more.
     *
     * @param pool The pool.
     * @return Whether it can.
     */
    private boolean hasRoom(FleetPool pool) {
        int count = desired.get(pool.name());
        PoolState state = view.pool(pool.name());
        boolean supplied = !view.unavailable().contains(pool.name()) || count < state.present();
        return count < pool.maximum() && supplied;
    }

    /**
     * Counts the servers of a pool's kind in its data centre.
     *
     * @param pool The pool.
     * @return The number.
     */
    private int inDataCentre(FleetPool pool) {
        return pool.supply() == Supply.CHEAP ? cheapIn(pool.dataCentre()) : desired.get(pool.name());
    }

    /**
     * Counts the cheap servers of a data centre.
     *
     * @param dataCentre The name of the data centre.
     * @return The number.
     */
    private int cheapIn(String dataCentre) {
        return pools.stream()
                .filter(pool -> pool.supply() == Supply.CHEAP)
                .filter(pool -> pool.dataCentre().equals(dataCentre))
                .mapToInt(pool -> desired.get(pool.name()))
                .sum();
    }

    /**
     * Counts the cheap servers of the data centre that has most of them.
     *
     * @return The number.
     */
    private int largestCheapDataCentre() {
        return pools.stream().mapToInt(pool -> cheapIn(pool.dataCentre())).max().orElse(0);
    }

    /**
     * Counts all servers.
     *
     * @return The number.
     */
    private int total() {
        return fixed + desired.values().stream().mapToInt(Integer::intValue).sum();
    }
}
