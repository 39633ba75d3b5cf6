package org.cranberrygauge.decision.fleet;

import java.util.Map;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * What the planner knows of the pools.
 *
 * @param configuration The configuration in force.
 * @param ordered The number of backend servers that the platform lists or was asked for, by pool.
 */
public record FleetView(Configuration configuration, Map<String, Integer> ordered) {

    /** Copies the map. */
    public FleetView {
        ordered = Map.copyOf(ordered);
    }
}
