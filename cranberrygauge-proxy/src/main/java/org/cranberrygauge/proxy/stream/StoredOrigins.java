package org.cranberrygauge.proxy.stream;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The origins of streams as the shared log holds them. Immutable.
 *
 * @param origins What is stored of each origin; two records of the same origin differ.
 * @param completeEra The era of the log in which every origin is stored at which a stream that callers may still resume
 *     began; empty if it is not known for any.
 * @param end The offset at which the topic ended.
 */
public record StoredOrigins(Map<StreamOrigin, String> origins, OptionalLong completeEra, long end) {

    public StoredOrigins {
        origins = Map.copyOf(origins);
    }

    /** Tells whether every origin is stored that matters in an era of the log. */
    public boolean isComplete(long era) {
        return completeEra.isPresent() && completeEra.getAsLong() == era;
    }

    /**
     * Returns where every stream of a pool that callers may still resume began, or empty if that is not known or if
     * there are several origins.
     *
     * @param era The era of the log.
     * @param listed The origins at which this host may let streams begin.
     */
    public Optional<StreamOrigin> only(String pool, long era, Set<StreamOrigin> listed) {
        if (!isComplete(era)) {
            return Optional.empty();
        }
        Set<StreamOrigin> ofPool = origins.keySet().stream()
                .filter(origin -> origin.pool().equals(pool))
                .collect(Collectors.toSet());
        boolean othersListed =
                listed.stream().anyMatch(origin -> origin.pool().equals(pool) && !ofPool.contains(origin));
        return ofPool.size() == 1 && !othersListed
                ? Optional.of(ofPool.iterator().next())
                : Optional.empty();
    }
}
