package org.cranberrygauge.decision.fleet;

import java.util.ArrayList;
import java.util.List;
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
}
