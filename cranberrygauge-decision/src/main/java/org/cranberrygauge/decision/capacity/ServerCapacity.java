package org.cranberrygauge.decision.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What this host has learnt of the speed and the concurrency of backend servers, from attempts that ended normally.
 *
 * <p>Servers are named by their incarnation. Not thread-safe.
 */
public final class ServerCapacity {

    /** The part by which each outstanding request lengthens the time between the events of an engine's streams. */
    private static final double INTERVAL_PER_REQUEST = 0.03;

    /** The bound on the ratio for which a limit allows; a server that is slower still gets less concurrency. */
    private static final double MAXIMUM_LIMIT_RATIO = 2;

    private final ServerSpeed speed = new ServerSpeed();

    private final Map<String, ConcurrencyLimit> limits = new HashMap<>();

    /** The response times of plain services without queueing, by pool. */
    private final Map<String, TypicalTime> responses = new HashMap<>();

    /** The times between events of engines, reduced to an idle engine, by pool. */
    private final Map<String, TypicalTime> intervals = new HashMap<>();

    /** Returns the ratios of the servers. */
    public ServerSpeed speed() {
        return speed;
    }

    /** Returns the concurrency limit of a server of a plain service. */
    public ConcurrencyLimit limit(String server, int slots) {
        return limits.computeIfAbsent(server, name -> new ConcurrencyLimit(slots));
    }

    /** Returns the usual response time of a plain service without queueing; 0 if it is unknown. */
    public double responseMillis(String pool) {
        TypicalTime typical = responses.get(pool);
        return typical == null ? 0 : typical.millis();
    }

    /**
     * Records the response of a server of a plain service.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param outstanding The outstanding requests when this one was sent, including it.
     */
    public void recordResponse(
            long nowMillis, String pool, String server, int slots, int outstanding, double responseMillis) {
        double millis = Math.max(1, responseMillis);
        TypicalTime typical = responses.computeIfAbsent(pool, name -> new TypicalTime());
        if (typical.isKnown()) {
            double queueing = Math.max(1, (double) outstanding / Math.max(1, slots));
            speed.record(nowMillis, pool, server, millis, typical.millis() * queueing);
            double ratio = Math.min(MAXIMUM_LIMIT_RATIO, speed.ratio(nowMillis, pool, server));
            limit(server, slots).recordResponse(nowMillis, outstanding, millis, typical.millis() * ratio);
        }
        if (outstanding <= slots || !typical.isKnown()) {
            typical.record(millis);
        }
    }

    /**
     * Records a complete stream of an engine.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param outstanding The outstanding requests when this one was sent, including it.
     * @param firstMillis The time to the first event in milliseconds.
     * @param predictedMillis The prediction of that time.
     * @param intervalMillis The mean time between its events in milliseconds; 0 if it had too few.
     */
    public void recordStream(
            long nowMillis,
            String pool,
            String server,
            int outstanding,
            double firstMillis,
            double predictedMillis,
            double intervalMillis) {
        double observed = Math.max(1, firstMillis);
        double predicted = Math.max(1, predictedMillis);
        if (intervalMillis > 0) {
            TypicalTime typical = intervals.computeIfAbsent(pool, name -> new TypicalTime());
            double idleMillis = intervalMillis / (1 + INTERVAL_PER_REQUEST * outstanding);
            if (typical.isKnown()) {
                // The geometric mean of both comparisons, in which an outlier of one of them has half its weight.
                observed = Math.sqrt(observed * idleMillis);
                predicted = Math.sqrt(predicted * typical.millis());
            }
            typical.record(idleMillis);
        }
        speed.record(nowMillis, pool, server, observed, predicted);
    }

    /** Removes the servers that are no longer listed. */
    public void retain(Predicate<String> listed) {
        speed.retain(listed);
        limits.keySet().removeIf(listed.negate());
    }
}
