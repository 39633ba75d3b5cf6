package org.cranberrygauge.proxy.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Retains the entries of backend servers across outages of the store that holds them.
 *
 * <p>Entries also expire because the store was unavailable. Therefore the last list stays valid during an outage, and
 * an entry that is missing afterwards is retained for the time in which running backend servers register again. An
 * entry that marks a server as draining takes effect at once. Not thread-safe.
 */
public final class BackendRegistry {

    /** The time without a successful read from which it counts as an outage. */
    private static final long OUTAGE_THRESHOLD_MILLIS = 1_500;

    /** The time after an outage within which running backend servers register again. */
    private static final long REGISTRATION_MILLIS = 2_000;

    private final Map<String, Backend> backends = new HashMap<>();

    /** The monotonic times at which missing entries are removed, by identifier. */
    private final Map<String, Long> expiryMillis = new HashMap<>();

    /** Whether the entries have been read at least once. */
    private boolean known;

    /** The monotonic time of the last successful read. */
    private long lastReadMillis;

    /** The monotonic time at which the last outage ended. */
    private long outageEndMillis = Long.MIN_VALUE / 2;

    /**
     * Records a successful read; called before its entries are applied.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void recordRead(long nowMillis) {
        if (known && nowMillis - lastReadMillis > OUTAGE_THRESHOLD_MILLIS) {
            outageEndMillis = nowMillis;
        }
        lastReadMillis = nowMillis;
        known = true;
    }

    /** Adds or replaces an entry. */
    public void put(Backend backend) {
        backends.put(backend.id(), backend);
        expiryMillis.remove(backend.id());
    }

    /**
     * Removes an entry, after the registration time if the store was unavailable.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void remove(long nowMillis, String id) {
        Backend backend = backends.get(id);
        long registrationEndMillis = outageEndMillis + REGISTRATION_MILLIS;
        if (backend == null || backend.leaving() || nowMillis >= registrationEndMillis) {
            discard(id);
            return;
        }
        expiryMillis.putIfAbsent(id, registrationEndMillis);
    }

    /** Removes an entry at once, for example because it can't be decoded. */
    public void discard(String id) {
        backends.remove(id);
        expiryMillis.remove(id);
    }

    /**
     * Replaces all entries by a complete list.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param listed The backend servers by identifier.
     */
    public void replaceEntries(long nowMillis, Map<String, Backend> listed) {
        Set<String> missing = new HashSet<>(backends.keySet());
        missing.removeAll(listed.keySet());
        missing.forEach(id -> remove(nowMillis, id));
        listed.values().forEach(this::put);
    }

    /**
     * Removes expired entries and returns the current snapshot.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param statedLeaving Tells by incarnation whether a server leaves, whatever its entry says.
     */
    public BackendSnapshot snapshot(long nowMillis, Predicate<String> statedLeaving) {
        Iterator<Map.Entry<String, Long>> entries = expiryMillis.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (nowMillis >= entry.getValue()) {
                backends.remove(entry.getKey());
                entries.remove();
            }
        }
        List<Backend> listed = new ArrayList<>();
        backends.values()
                .forEach(backend ->
                        listed.add(statedLeaving.test(backend.incarnation()) ? backend.withLeaving() : backend));
        return new BackendSnapshot(listed, known);
    }
}
