package org.cranberrygauge.proxy.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts over all hosts how often a request broke the connection to a backend server before the response.
 *
 * <p>A request that does so repeatedly probably crashes the servers that run it, and is blocked for a time. Invariant:
 * the number of tracked requests is bounded. Thread-safe.
 */
public final class CrashTracker {

    /** The number of crashes from which a request is blocked. */
    private static final int BLOCKING_CRASHES = 3;

    /** The time for which crashes seen by this host are retained. */
    private static final long RETENTION_MILLIS = 60_000;

    /** The maximum number of requests tracked for this host; the oldest are evicted. */
    private static final int CAPACITY = 512;

    /** The crashes seen by this host, by fingerprint. */
    private final Map<Long, Crashes> local = new LinkedHashMap<>();

    /** The crashes seen by other hosts, by host and fingerprint. */
    private final Map<String, Map<Long, Integer>> remote = new HashMap<>();

    /**
     * Records a crash seen by this host.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized void record(long nowMillis, long fingerprint) {
        Crashes previous = local.remove(fingerprint);
        local.put(fingerprint, new Crashes(previous == null ? 1 : previous.count() + 1, nowMillis));
        Iterator<Long> oldest = local.keySet().iterator();
        while (local.size() > CAPACITY && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Replaces the crashes seen by another host.
     *
     * @param crashes All crashes of that host by fingerprint.
     */
    public synchronized void replaceRemote(String host, Map<Long, Integer> crashes) {
        if (crashes.isEmpty()) {
            remote.remove(host);
        } else {
            remote.put(host, Map.copyOf(crashes));
        }
    }

    /**
     * Removes expired crashes and returns the remaining crashes seen by this host, by fingerprint.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized Map<Long, Integer> local(long nowMillis) {
        local.values().removeIf(crashes -> nowMillis - crashes.lastMillis() > RETENTION_MILLIS);
        Map<Long, Integer> counts = new HashMap<>();
        local.forEach((fingerprint, crashes) -> counts.put(fingerprint, crashes.count()));
        return counts;
    }

    public synchronized boolean isEmpty() {
        return local.isEmpty() && remote.isEmpty();
    }

    /** Tells whether a request is blocked; the fingerprint is computed only if any crash is known. */
    public boolean isBlocked(LongSupplier fingerprint) {
        return !isEmpty() && isBlocked(fingerprint.getAsLong());
    }

    /** Tells whether a request is blocked. */
    public synchronized boolean isBlocked(long fingerprint) {
        Crashes localCrashes = local.get(fingerprint);
        int total = localCrashes == null ? 0 : localCrashes.count();
        for (Map<Long, Integer> counts : remote.values()) {
            total += counts.getOrDefault(fingerprint, 0);
        }
        return total >= BLOCKING_CRASHES;
    }

    /** The number of crashes of one request, and the monotonic time of the last one. */
    private record Crashes(int count, long lastMillis) {}
}
