package org.cranberrygauge.proxy.configuration;

import java.util.Optional;

/**
 * A named set of backend servers that serve the same requests.
 *
 * @param name The name of the pool.
 * @param engine The limits of its engines; empty for a plain service.
 * @param fleet How backend servers may be ordered; empty if they can't be.
 */
public record Pool(String name, Optional<EngineLimits> engine, Optional<FleetLimits> fleet) {

    /**
     * Returns the memory of one of its engines.
     *
     * @return The memory in tokens, or 0 for a plain service.
     */
    public long memoryTokens() {
        return engine.map(EngineLimits::memoryTokens).orElse(0L);
    }
}
