package org.cranberrygauge.proxy.configuration;

import java.util.Optional;

/**
 * A named set of backend servers that serve the same requests.
 *
 * @param name The name of the pool.
 * @param engine The capacity of its engines; empty for a plain service.
 * @param fleet The limits for orders of backend servers; empty if none can be ordered.
 * @param coldPerSecond The requests per second that a cold server takes from all hosts together; 0 if it takes any rate.
 */
public record Pool(String name, Optional<EngineLimits> engine, Optional<FleetLimits> fleet, double coldPerSecond) {

    /** Returns the size of each engine's KV cache in tokens; 0 for a plain service. */
    public long memoryTokens() {
        return engine.map(EngineLimits::memoryTokens).orElse(0L);
    }
}
