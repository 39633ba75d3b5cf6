package org.cranberrygauge.proxy.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The backend servers at one moment.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class BackendSnapshot {

    /** A catalogue that has not been read yet. */
    public static final BackendSnapshot UNKNOWN = new BackendSnapshot(List.of(), false);

    /** All backend servers by incarnation. */
    private final Map<String, Backend> all = new HashMap<>();

    /** Those that take new work by pool. */
    private final Map<String, List<Backend>> ready = new HashMap<>();

    /** Whether the entries have been read at least once. */
    private final boolean known;

    /**
     * Creates a catalogue.
     *
     * @param backends The backend servers.
     * @param known Whether the entries have been read at least once.
     */
    public BackendSnapshot(Collection<Backend> backends, boolean known) {
        this.known = known;
        for (Backend backend : backends) {
            all.put(backend.incarnation(), backend);
            if (!backend.leaving()) {
                ready.computeIfAbsent(backend.pool(), pool -> new ArrayList<>()).add(backend);
            }
        }
    }

    /**
     * Tells whether the entries have been read at least once.
     *
     * @return Whether they are known.
     */
    public boolean known() {
        return known;
    }

    /**
     * Returns all backend servers, also those that leave.
     *
     * @return The backend servers.
     */
    public Collection<Backend> all() {
        return all.values();
    }

    /**
     * Tells whether a start of a backend server is still listed.
     *
     * @param incarnation The name of the start.
     * @return Whether it is listed, leaving or not.
     */
    public boolean lists(String incarnation) {
        return all.containsKey(incarnation);
    }

    /**
     * Returns the backend servers of a pool that take new work.
     *
     * @param pool The name of the pool.
     * @return The backend servers.
     */
    public List<Backend> ready(String pool) {
        return ready.getOrDefault(pool, List.of());
    }
}
