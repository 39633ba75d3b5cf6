package org.cranberrygauge.decision.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The permits that this host holds to send requests to backend servers that state a limit.
 *
 * <p>Invariants: a permit is used at most once, and not after its validity. Thread-safe.
 */
public final class HeldPermits {

    /** The time for which a permit is valid, counted from its request. */
    public static final long VALIDITY_MILLIS = 500;

    /** The time after a request in which no other permit for the same server is requested, unless some were issued. */
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private final Map<String, Holding> holdings = new HashMap<>();

    /**
     * Adds issued permits.
     *
     * @param requestedMillis The monotonic time at which they were requested, in milliseconds.
     */
    public synchronized void add(long requestedMillis, String incarnation, int count) {
        Holding holding = holdings.computeIfAbsent(incarnation, name -> new Holding());
        for (int number = 0; number < count; number++) {
            holding.expiryMillis.add(requestedMillis + VALIDITY_MILLIS);
        }
        if (count > 0) {
            holding.nextRequestMillis = requestedMillis;
        }
    }

    /**
     * Tells whether there is a permit for a server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized boolean has(long nowMillis, String incarnation) {
        Holding holding = holdings.get(incarnation);
        return holding != null && holding.hasValid(nowMillis);
    }

    /**
     * Uses a permit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return Whether there was one.
     */
    public synchronized boolean use(long nowMillis, String incarnation) {
        Holding holding = holdings.get(incarnation);
        if (holding == null || !holding.hasValid(nowMillis)) {
            return false;
        }
        holding.expiryMillis.remove();
        return true;
    }

    /**
     * Tells whether a permit may be requested, which is not the case shortly after a request that was not fulfilled.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized boolean mayRequest(long nowMillis, String incarnation) {
        Holding holding = holdings.get(incarnation);
        return holding == null || nowMillis >= holding.nextRequestMillis;
    }

    /**
     * Records a request for permits.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized void recordRequest(long nowMillis, String incarnation) {
        holdings.computeIfAbsent(incarnation, name -> new Holding()).nextRequestMillis =
                nowMillis + REQUEST_INTERVAL_MILLIS;
    }

    /** Removes the permits for servers that are gone. */
    public synchronized void retain(Set<String> present) {
        holdings.keySet().retainAll(present);
    }

    /** The permits for one server. */
    private static final class Holding {

        /** In the order in which the permits were added. */
        private final Deque<Long> expiryMillis = new ArrayDeque<>();

        private long nextRequestMillis = Long.MIN_VALUE;

        boolean hasValid(long nowMillis) {
            while (!expiryMillis.isEmpty() && nowMillis >= expiryMillis.peek()) {
                expiryMillis.remove();
            }
            return !expiryMillis.isEmpty();
        }
    }
}
