package org.cranberrygauge.decision.backend;

import java.util.OptionalDouble;

/**
 * The limits on the rate of requests that backend servers take from all hosts together: those that they state in
 * responses, and those of cold servers. Stateless and thread-safe.
 */
public record BackendLimits(BackendStatements statements, ColdServers cold) {

    /**
     * Returns the lowest limit of a server in requests per second, or empty if it takes any rate.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public OptionalDouble perSecond(long nowMillis, String incarnation) {
        OptionalDouble stated = statements.limit(incarnation);
        OptionalDouble ofCold = cold.limit(nowMillis, incarnation);
        if (stated.isEmpty() || ofCold.isEmpty()) {
            return stated.isPresent() ? stated : ofCold;
        }
        return OptionalDouble.of(Math.min(stated.getAsDouble(), ofCold.getAsDouble()));
    }
}
