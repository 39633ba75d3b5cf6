package org.cranberrygauge.proxy.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The versions of software that served in each pool within the lifetime of a stream.
 *
 * <p>It begins with the start of this process, and knows nothing of versions that were gone by then. Not thread-safe.
 */
public final class VersionHistory {

    /** The time for which a version counts after its last server is gone; callers give a stream up long before. */
    private static final long RETENTION_MILLIS = 60_000;

    /** The monotonic times at which a version was last listed, by pool and version. */
    private final Map<String, Map<String, Long>> lastListedMillis = new HashMap<>();

    /**
     * Records the listed backend servers.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void record(long nowMillis, BackendSnapshot snapshot) {
        for (Backend backend : snapshot.all()) {
            lastListedMillis
                    .computeIfAbsent(backend.pool(), pool -> new HashMap<>())
                    .put(backend.version(), nowMillis);
        }
        lastListedMillis
                .values()
                .forEach(versions -> versions.values().removeIf(listed -> nowMillis - listed > RETENTION_MILLIS));
    }

    /** Returns the version at which every stream of a pool began, or empty if there were several or none. */
    public Optional<String> onlyVersion(String pool) {
        Map<String, Long> versions = lastListedMillis.getOrDefault(pool, Map.of());
        return versions.size() == 1 ? Optional.of(versions.keySet().iterator().next()) : Optional.empty();
    }
}
