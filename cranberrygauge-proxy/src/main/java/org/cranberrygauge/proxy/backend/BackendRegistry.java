package org.cranberrygauge.proxy.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Retains the entries of backend servers across outages of the store that holds them.
 *
 * <p>Entries also expire because the store was unavailable. Therefore the last list stays valid during an outage, and
 * an entry that is missing afterwards is retained for the time in which running backend servers register again. An
 * entry that marks a server as draining takes effect at once, and for good: an older copy of the store may say ready
 * again. Not thread-safe.
 */
public final class BackendRegistry {

    /** The number of removed incarnations that are remembered. */
    private static final int MAXIMUM_REMOVED = 1_000;

    private final Map<String, Backend> backends = new HashMap<>();

    /** The incarnations whose entries were removed last. */
    private final Set<String> removed = new LinkedHashSet<>();

    /** Whether the next complete list comes from an older copy of the store. */
    private boolean rolledBack;

    /** The identifiers of the servers that are listed though the store no longer holds their entries. */
    private final Set<String> retained = new HashSet<>();

    /** Whether the entries have been read at least once. */
    private boolean known;

    /** Records a successful read; called before its entries are applied. */
    public void recordRead() {
        known = true;
    }

    /**
     * Records that the store has come back from an older copy: servers whose entries were removed before are not taken
     * from it.
     */
    public void recordRollback() {
        rolledBack = true;
    }

    /** Adds or replaces an entry that was written to the store. */
    public void put(Backend backend) {
        Backend known = backends.get(backend.id());
        boolean leaves = known != null && known.leaving() && known.incarnation().equals(backend.incarnation());
        backends.put(backend.id(), leaves ? backend.withLeaving() : backend);
        retained.remove(backend.id());
        removed.remove(backend.incarnation());
    }

    /**
     * Records that the store no longer holds an entry. The server stays in the list until {@link #dropRetained()}, unless it
     * leaves.
     */
    public void remove(String id) {
        Backend backend = backends.get(id);
        if (backend == null || backend.leaving()) {
            discard(id);
        } else {
            retained.add(id);
        }
    }

    /** Removes an entry at once, for example because it can't be decoded. */
    public void discard(String id) {
        Backend known = backends.remove(id);
        if (known != null) {
            recordRemoved(known.incarnation());
        }
        retained.remove(id);
    }

    /**
     * Replaces all entries by a complete list.
     *
     * @param listed The backend servers by identifier.
     */
    public void replaceEntries(Map<String, Backend> listed) {
        Set<String> missing = new HashSet<>(backends.keySet());
        missing.removeAll(listed.keySet());
        missing.forEach(this::remove);
        for (Backend backend : listed.values()) {
            if (!rolledBack || !removed.contains(backend.incarnation())) {
                put(backend);
            }
        }
        rolledBack = false;
    }

    /** Returns the identifiers of the servers that are listed though the store no longer holds their entries. */
    public Set<String> retained() {
        return Set.copyOf(retained);
    }

    /** Removes the servers whose entries the store no longer holds. */
    public void dropRetained() {
        retained().forEach(this::discard);
    }

    /**
     * Returns the current snapshot.
     *
     * @param reading The last read of the list to its end.
     * @param statedLeaving Tells by incarnation whether a server leaves, whatever its entry says.
     */
    public BackendSnapshot snapshot(ListReading reading, Predicate<String> statedLeaving) {
        List<Backend> listed = new ArrayList<>();
        backends.values()
                .forEach(backend ->
                        listed.add(statedLeaving.test(backend.incarnation()) ? backend.withLeaving() : backend));
        return new BackendSnapshot(listed, known, reading, retained.size());
    }

    private void recordRemoved(String incarnation) {
        removed.add(incarnation);
        if (removed.size() > MAXIMUM_REMOVED) {
            Iterator<String> oldest = removed.iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
