package org.cranberrygauge.proxy.retry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Counts how often requests broke the connection to a backend server before it answered, over all hosts.
 *
 * <p>A request that does so again and again probably crashes the servers that run it, and is refused for a time. Invariant:
 * a bounded number of requests is remembered. Safe for use by several threads.
 */
public final class CrashTracker {

    /** The crashes from which a request is refused. */
    private static final int REFUSED_FROM_CRASHES = 3;

    /** The time for which crashes are remembered, in milliseconds. */
    private static final long REMEMBERED_MILLIS = 60_000;

    /** The number of requests that are remembered. */
    private static final int CAPACITY = 512;

    /** The crashes that this host saw, by fingerprint. */
    private final Map<Long, Crashes> own = new LinkedHashMap<>();

    /** The crashes that other hosts saw, by host and fingerprint. */
    private final Map<String, Map<Long, Integer>> others = new HashMap<>();

    /**
     * Notes a crash.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param fingerprint The fingerprint of the request.
     */
    public synchronized void note(long nowMillis, long fingerprint) {
        Crashes before = own.remove(fingerprint);
        own.put(fingerprint, new Crashes(before == null ? 1 : before.count() + 1, nowMillis));
        Iterator<Long> oldest = own.keySet().iterator();
        while (own.size() > CAPACITY && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Takes the crashes that another host saw.
     *
     * @param host The host.
     * @param crashes All its crashes by fingerprint.
     */
    public synchronized void takeOthers(String host, Map<Long, Integer> crashes) {
        if (crashes.isEmpty()) {
            others.remove(host);
        } else {
            others.put(host, Map.copyOf(crashes));
        }
    }

    /**
     * Returns the crashes that this host saw, after forgetting old ones.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The crashes by fingerprint.
     */
    public synchronized Map<Long, Integer> own(long nowMillis) {
        own.values().removeIf(crashes -> nowMillis - crashes.lastMillis() > REMEMBERED_MILLIS);
        Map<Long, Integer> counts = new HashMap<>();
        own.forEach((fingerprint, crashes) -> counts.put(fingerprint, crashes.count()));
        return counts;
    }

    /**
     * Tells whether no crash is known.
     *
     * @return Whether no crash is known.
     */
    public synchronized boolean isEmpty() {
        return own.isEmpty() && others.isEmpty();
    }

    /**
     * Tells whether a request is refused; its fingerprint is computed only if a crash is known.
     *
     * @param fingerprint Computes the fingerprint of the request.
     * @return Whether it is refused.
     */
    public boolean refuses(LongSupplier fingerprint) {
        return !isEmpty() && refuses(fingerprint.getAsLong());
    }

    /**
     * Tells whether a request is refused.
     *
     * @param fingerprint The fingerprint of the request.
     * @return Whether it is refused.
     */
    public synchronized boolean refuses(long fingerprint) {
        Crashes seen = own.get(fingerprint);
        int total = seen == null ? 0 : seen.count();
        for (Map<Long, Integer> counts : others.values()) {
            total += counts.getOrDefault(fingerprint, 0);
        }
        return total >= REFUSED_FROM_CRASHES;
    }

    /**
     * The crashes of a request.
     *
     * @param count Their number.
     * @param lastMillis The monotonic time of the last.
     */
    private record Crashes(int count, long lastMillis) {}
}
