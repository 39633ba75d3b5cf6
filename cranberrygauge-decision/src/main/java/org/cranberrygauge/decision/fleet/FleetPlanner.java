package org.cranberrygauge.decision.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.configuration.FleetPool;

/** Decides how many backend servers each pool should have. */
public interface FleetPlanner {

    /** Returns the orders that are due. */
    List<FleetOrder> decide(long nowMillis, FleetView view);

    /**
     * Keeps each pool at its minimum.
     *
     * <p>Stateless and thread-safe.
     */
    enum Minimum implements FleetPlanner {
        INSTANCE;

        @Override
        public List<FleetOrder> decide(long nowMillis, FleetView view) {
            List<FleetOrder> orders = new ArrayList<>();
            for (FleetPool pool : view.configuration().fleet()) {
                int present = view.pool(pool.name()).present();
                if (present != pool.minimum()) {
                    orders.add(new FleetOrder(pool.name(), pool.minimum(), "minimum"));
                }
            }
            return orders;
        }
    }

    /**
     * Keeps each pool at a fixed size. A baseline without scaling.
     *
     * <p>Immutable and thread-safe.
     *
     * @param sizes The sizes by pool.
     */
    record Fixed(Map<String, Integer> sizes) implements FleetPlanner {

        public Fixed {
            sizes = Map.copyOf(sizes);
        }

        @Override
        public List<FleetOrder> decide(long nowMillis, FleetView view) {
            List<FleetOrder> orders = new ArrayList<>();
            for (FleetPool pool : view.configuration().fleet()) {
                int size = sizes.getOrDefault(pool.name(), 0);
                if (view.pool(pool.name()).present() != size) {
                    orders.add(new FleetOrder(pool.name(), size, "fixed"));
                }
            }
            return orders;
        }
    }

    /**
     * Follows the current demand, cheapest pools first, and shrinks after the idle time. A baseline without forecast,
     * spread over data centres and minimum for protected classes.
     *
     * <p>Not thread-safe; confined to one thread.
     */
    final class Reactive implements FleetPlanner {

        /** The time in seconds within which the waiting requests should be completed. */
        private static final double BACKLOG_DRAIN_SECONDS = 30;

        private final FleetParameters parameters;

        /** The highest demand of each model within the idle time, in servers. */
        private final Map<String, SlidingWindowMaximum> recentlyNeeded = new HashMap<>();

        public Reactive(FleetParameters parameters) {
            this.parameters = parameters;
        }

        @Override
        public List<FleetOrder> decide(long nowMillis, FleetView view) {
            List<FleetPool> cheapestFirst = new ArrayList<>(view.configuration().fleet());
            cheapestFirst.sort(
                    Comparator.comparingDouble(FleetPool::costPerHour).thenComparing(FleetPool::name));
            Map<String, Integer> remaining = new HashMap<>();
            List<FleetOrder> orders = new ArrayList<>();
            for (FleetPool pool : cheapestFirst) {
                int left = remaining.computeIfAbsent(pool.model(), model -> needed(nowMillis, view, model));
                int size = Math.max(pool.minimum(), Math.min(pool.maximum(), left));
                remaining.put(pool.model(), Math.max(0, left - size));
                if (size != view.pool(pool.name()).present()) {
                    orders.add(new FleetOrder(pool.name(), size, "reactive"));
                }
            }
            return orders;
        }

        /** Returns how many servers a model needs for its current demand, at its highest within the idle time. */
        private int needed(long nowMillis, FleetView view, String model) {
            FleetView.ModelDemand demand = view.demandFor(model);
            int needed =
                    parameters.serversFor(demand.tokensPerSecond() + demand.waitingTokens() / BACKLOG_DRAIN_SECONDS);
            return recentlyNeeded
                    .computeIfAbsent(model, name -> new SlidingWindowMaximum(parameters.idleMillis()))
                    .add(nowMillis, needed);
        }
    }
}
