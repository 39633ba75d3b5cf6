package org.cranberrygauge.decision.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.configuration.FleetPool;

/** Decides how many backend servers each pool shall have. */
public interface FleetPlanner {

    /**
     * Decides the orders that are due.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param view What is known of the pools.
     * @return The orders.
     */
    List<FleetOrder> decide(long nowMillis, FleetView view);

    /**
     * Keeps each pool at its minimum.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Minimum implements FleetPlanner {
        /** The only instance. */
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
     * Keeps each pool at a fixed size, which is the baseline without scaling.
     *
     * <p>Immutable and safe for use by several threads.
     *
     * @param sizes The sizes by pool.
     */
    record Fixed(Map<String, Integer> sizes) implements FleetPlanner {

        /** Copies the map. */
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
     * Follows the present demand with the cheapest pools first, and shrinks after the idle time, which is the baseline
     * without forecast, spread and floor.
     *
     * <p>Used by one thread.
     */
    final class Reactive implements FleetPlanner {

        /** The time in which requests that wait shall be worked off in seconds. */
        private static final double WORK_OFF_SECONDS = 30;

        /** What the planner reckons with. */
        private final FleetParameters parameters;

        /** The need of each model in the last while. */
        private final Map<String, SlidingWindowMaximum> needs = new HashMap<>();

        /**
         * Creates a planner.
         *
         * @param parameters What the planner reckons with.
         */
        public Reactive(FleetParameters parameters) {
            this.parameters = parameters;
        }

        @Override
        public List<FleetOrder> decide(long nowMillis, FleetView view) {
            List<FleetPool> cheapestFirst = new ArrayList<>(view.configuration().fleet());
            cheapestFirst.sort(
                    Comparator.comparingDouble(FleetPool::costPerHour).thenComparing(FleetPool::name));
            Map<String, Integer> open = new HashMap<>();
            List<FleetOrder> orders = new ArrayList<>();
            for (FleetPool pool : cheapestFirst) {
                int left = open.computeIfAbsent(pool.model(), model -> needed(nowMillis, view, model));
                int size = Math.max(pool.minimum(), Math.min(pool.maximum(), left));
                open.put(pool.model(), Math.max(0, left - size));
                if (size != view.pool(pool.name()).present()) {
                    orders.add(new FleetOrder(pool.name(), size, "reactive"));
                }
            }
            return orders;
        }

        /**
         * Works out how many servers a model needs for its present demand.
         *
         * @param nowMillis The present monotonic time in milliseconds.
         * @param view What is known.
         * @param model The model.
         * @return The number.
         */
        private int needed(long nowMillis, FleetView view, String model) {
            FleetView.ModelDemand demand = view.demandFor(model);
            int needed = parameters.serversFor(demand.tokensPerSecond() + demand.waitingTokens() / WORK_OFF_SECONDS);
            return needs.computeIfAbsent(model, name -> new SlidingWindowMaximum(parameters.idleMillis()))
                    .add(nowMillis, needed);
        }
    }
}
