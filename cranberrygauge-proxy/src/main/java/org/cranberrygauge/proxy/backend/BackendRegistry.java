package org.cranberrygauge.proxy.backend;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the entries of backend servers over outages of the store that holds them.
 *
 * <p>Entries also lapse because the store was away. So the last list holds during an outage, and an entry that is missing
 * after it is kept for the time in which living backend servers register again. An entry that says that the server leaves
 * holds at once. Used by one thread.
 */
public final class BackendRegistry {

    /** The time without a successful read that counts as an outage, in milliseconds. */
    private static final long OUTAGE_MILLIS = 1_500;

    /** The time after an outage in which living backend servers register again, in milliseconds. */
    private static final long REGISTRATION_MILLIS = 2_000;

    /** The backend servers by identifier. */
    private final Map<String, Backend> backends = new HashMap<>();

    /** The times at which entries that lapsed are taken as gone, by identifier. */
    private final Map<String, Long> lapsed = new HashMap<>();

    /** Whether the entries have been read. */
    private boolean known;

    /** The time of the last successful read. */
    private long reachedMillis;

    /** The time at which the last outage ended. */
    private long returnedMillis = Long.MIN_VALUE / 2;

    /**
     * Notes a successful read, before its entries are taken.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void reached(long nowMillis) {
        if (known && nowMillis - reachedMillis > OUTAGE_MILLIS) {
            returnedMillis = nowMillis;
        }
        reachedMillis = nowMillis;
        known = true;
    }

    /**
     * Takes an entry.
     *
     * @param backend The backend server.
     */
    public void put(Backend backend) {
        backends.put(backend.id(), backend);
        lapsed.remove(backend.id());
    }

    /**
     * Takes the removal of an entry.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param id The identifier of the backend server.
     */
    public void remove(long nowMillis, String id) {
        Backend backend = backends.get(id);
        long untilMillis = returnedMillis + REGISTRATION_MILLIS;
        if (backend == null || backend.leaving() || nowMillis >= untilMillis) {
            drop(id);
            return;
        }
        lapsed.putIfAbsent(id, untilMillis);
    }

    /**
     * Takes an entry that can't be understood, which names no backend server to use.
     *
     * @param id The identifier.
     */
    public void drop(String id) {
        backends.remove(id);
        lapsed.remove(id);
    }

    /**
     * Takes a complete list in place of all entries.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param listed The backend servers that are listed, by identifier.
     */
    public void replaceAll(long nowMillis, Map<String, Backend> listed) {
        Set<String> missing = new HashSet<>(backends.keySet());
        missing.removeAll(listed.keySet());
        missing.forEach(id -> remove(nowMillis, id));
        listed.values().forEach(this::put);
    }

    /**
     * Returns the present catalogue.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The catalogue.
     */
    public BackendSnapshot catalogue(long nowMillis) {
        Iterator<Map.Entry<String, Long>> entries = lapsed.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Long> entry = entries.next();
            if (nowMillis >= entry.getValue()) {
                backends.remove(entry.getKey());
                entries.remove();
            }
        }
        return new BackendSnapshot(backends.values(), known);
    }
}
