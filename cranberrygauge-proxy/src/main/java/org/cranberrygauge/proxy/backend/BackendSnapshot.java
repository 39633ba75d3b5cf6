package org.cranberrygauge.proxy.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The registered backend servers at one point in time. Immutable and thread-safe. */
public final class BackendSnapshot {

    /** Stands for entries that have not been read yet. */
    public static final BackendSnapshot UNKNOWN = new BackendSnapshot(List.of(), false);

    /** By incarnation. */
    private final Map<String, Backend> all = new HashMap<>();

    /** Those that accept new requests and are in no evacuated data centre, by pool. */
    private final Map<String, List<Backend>> ready = new HashMap<>();

    private final boolean known;

    private final ListReading reading;

    private final int retained;

    /** @param known Whether the entries have been read at least once. */
    public BackendSnapshot(Collection<Backend> backends, boolean known) {
        this(backends, known, ListReading.NONE, 0);
    }

    /**
     * @param known Whether the entries have been read at least once.
     * @param reading The last read of the list to its end.
     * @param retained The number of backend servers whose entries the store no longer holds.
     */
    public BackendSnapshot(Collection<Backend> backends, boolean known, ListReading reading, int retained) {
        this(backends, known, reading, retained, Set.of());
    }

    private BackendSnapshot(
            Collection<Backend> backends, boolean known, ListReading reading, int retained, Set<String> evacuated) {
        this.known = known;
        this.reading = reading;
        this.retained = retained;
        for (Backend backend : backends) {
            all.put(backend.incarnation(), backend);
            if (!backend.leaving() && !evacuated.contains(backend.dataCentre())) {
                ready.computeIfAbsent(backend.pool(), pool -> new ArrayList<>()).add(backend);
            }
        }
    }

    /** Returns this snapshot, in which the backend servers of some data centres accept no new requests. */
    public BackendSnapshot withEvacuated(Set<String> dataCentres) {
        return new BackendSnapshot(all.values(), known, reading, retained, dataCentres);
    }

    /** Returns when, and through whom, the list was last read to its end. */
    public ListReading reading() {
        return reading;
    }

    /** Tells whether the entries have been read at least once. */
    public boolean known() {
        return known;
    }

    /** Returns the number of backend servers that are listed though the store no longer holds their entries. */
    public int retained() {
        return retained;
    }

    /** Returns all backend servers, including those that drain. */
    public Collection<Backend> all() {
        return all.values();
    }

    /** Returns the incarnations of all backend servers, including those that drain. */
    public Set<String> incarnations() {
        return Collections.unmodifiableSet(all.keySet());
    }

    /** Tells whether an incarnation of a backend server is still registered, draining or not. */
    public boolean lists(String incarnation) {
        return all.containsKey(incarnation);
    }

    /** Tells whether this incarnation of a backend server accepts new requests. */
    public boolean isReady(Backend backend) {
        return ready(backend.pool()).stream()
                .anyMatch(listed -> listed.incarnation().equals(backend.incarnation()));
    }

    /** Returns the backend servers of a pool that accept new requests. */
    public List<Backend> ready(String pool) {
        return ready.getOrDefault(pool, List.of());
    }
}
