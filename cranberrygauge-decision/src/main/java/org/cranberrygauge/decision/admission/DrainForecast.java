package org.cranberrygauge.decision.admission;

import java.util.OptionalLong;

/**
 * Measures how fast the waiting requests of a pool start, and predicts waits from it.
 *
 * <p>Invariants: only time during which requests wait is measured, since otherwise the starts show the demand and not
 * the capacity; without recent observations there is no prediction. Not thread-safe.
 */
public final class DrainForecast {

    /** The time constant of the measured rates in milliseconds, a few times the usual interval between starts. */
    private static final double DECAY_MILLIS = 2_000;

    /** The weight of starts, without decay, from which on there is a prediction. */
    private static final double MINIMUM_STARTS = 5;

    /** The age from which the measured rates are not used. */
    private static final long VALIDITY_MILLIS = 10_000;

    /** The decayed time during which requests waited, in milliseconds. */
    private double waitedMillis;

    /** The decayed number of starts. */
    private double starts;

    /** The decayed cost of the starts. */
    private double startedCost;

    /** The number of starts so far, up to the minimum. */
    private double observedStarts;

    private long lastMillis = Long.MIN_VALUE / 2;

    private long lastStartMillis = Long.MIN_VALUE / 2;

    /** Whether requests have waited since the last observation. */
    private boolean waiting;

    /**
     * Records whether requests wait from now on.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void observe(long nowMillis, boolean requestsWait) {
        if (waiting) {
            double decay = Math.exp((lastMillis - nowMillis) / DECAY_MILLIS);
            waitedMillis = waitedMillis * decay + DECAY_MILLIS * (1 - decay);
            starts *= decay;
            startedCost *= decay;
        }
        waiting = requestsWait;
        lastMillis = nowMillis;
    }

    /**
     * Records that a waiting request starts.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param cost The cost of the request in tokens, or 1 for a plain service.
     */
    public void recordStart(long nowMillis, long cost) {
        observe(nowMillis, waiting);
        starts++;
        startedCost += cost;
        observedStarts = Math.min(MINIMUM_STARTS, observedStarts + 1);
        lastStartMillis = nowMillis;
    }

    /**
     * Predicts the wait of a request.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param requestsAhead The number of requests that start before it.
     * @param costAhead The cost of those requests.
     * @return The wait in milliseconds; empty without recent observations.
     */
    public OptionalLong waitMillis(long nowMillis, double requestsAhead, double costAhead) {
        if (observedStarts < MINIMUM_STARTS || nowMillis - lastStartMillis >= VALIDITY_MILLIS || waitedMillis <= 0) {
            return OptionalLong.empty();
        }
        double byRequests = requestsAhead * waitedMillis / starts;
        double byCost = startedCost <= 0 ? 0 : costAhead * waitedMillis / startedCost;
        return OptionalLong.of(Math.round(Math.max(byRequests, byCost)));
    }
}
