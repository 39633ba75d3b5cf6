package org.cranberrygauge.decision.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The backend servers that are cold: for some time after a start they take only a limited rate of requests, and crash at
 * a higher one.
 *
 * <p>The entry of a server states how long it stays cold. A server that may have become cold since its last entry is
 * presumed cold until its next entry or a timeout. Invariant: a presumption never shortens a stated time. Thread-safe.
 */
public final class ColdServers {

    /** The longest time for which a server is taken to be cold; a longer one is a mistake of the server. */
    public static final long MAXIMUM_COLD_MILLIS = 600_000;

    private final Map<String, Cold> cold = new HashMap<>();

    /** The requests per second that a cold server takes from all hosts together, by pool; 0 if it takes any rate. */
    private final ToDoubleFunction<String> perSecond;

    /** @param perSecond Returns the rate that a cold server of a pool takes; 0 if it takes any rate. */
    public ColdServers(ToDoubleFunction<String> perSecond) {
        this.perSecond = perSecond;
    }

    /**
     * Records the time for which a server states that it stays cold.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param leftMillis The time for which the server stays cold, in milliseconds; 0 or less if it is not cold.
     * @return Whether the server was not known to be cold and is now, or the reverse.
     */
    public synchronized boolean observe(long nowMillis, String pool, String incarnation, long leftMillis) {
        if (leftMillis <= 0) {
            return cold.remove(incarnation) != null;
        }
        Cold observed = new Cold(pool, nowMillis + Math.min(leftMillis, MAXIMUM_COLD_MILLIS));
        return cold.put(incarnation, observed) == null;
    }

    /**
     * Presumes that a server is cold until its next entry.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param forMillis The timeout in milliseconds, within which its next entry is read.
     */
    public synchronized void presume(long nowMillis, String pool, String incarnation, long forMillis) {
        cold.merge(
                incarnation,
                new Cold(pool, nowMillis + forMillis),
                (known, presumed) -> known.untilMillis() >= presumed.untilMillis() ? known : presumed);
    }

    /**
     * Returns the requests per second that a server takes from all hosts together, or empty if it takes any rate.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized OptionalDouble limit(long nowMillis, String incarnation) {
        Cold server = cold.get(incarnation);
        if (server == null || nowMillis >= server.untilMillis()) {
            return OptionalDouble.empty();
        }
        double rate = perSecond.applyAsDouble(server.pool());
        return rate > 0 ? OptionalDouble.of(rate) : OptionalDouble.empty();
    }

    /**
     * Returns the number of servers that are cold.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized int count(long nowMillis) {
        return (int) cold.values().stream()
                .filter(server -> nowMillis < server.untilMillis())
                .count();
    }

    /** Removes the servers that are gone. */
    public synchronized void retain(Set<String> present) {
        cold.keySet().retainAll(present);
    }

    /** @param untilMillis The monotonic time until which the server is cold, in milliseconds. */
    private record Cold(String pool, long untilMillis) {}
}
