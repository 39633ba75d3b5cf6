package org.cranberrygauge.decision.admission;

/**
 * Measures the rate at which a target takes queued work.
 *
 * <p>Invariants: only periods with a non-empty queue are measured; the rate is unknown until the first such period has
 * ended. Not thread-safe; callers serialize access.
 */
final class DrainRate {

    /** The length of one measurement in milliseconds. */
    private static final long MEASUREMENT_PERIOD_MILLIS = 1_000;

    /** The weight of the newest measurement in the moving average. */
    private static final double SMOOTHING = 0.3;

    /** The smoothed rate in tokens per millisecond; 0 while unknown. */
    private double tokensPerMilli;

    /** The work started in the current measurement period, in tokens. */
    private long startedTokens;

    /** The start of the current measurement period; negative while the queue is empty. */
    private long periodStartMillis = -1;

    /**
     * Updates the measurement with the current backlog, before a start or an arrival.
     *
     * @param waitingTokens The work that waits in tokens.
     */
    void observe(long nowMillis, long waitingTokens) {
        if (waitingTokens == 0) {
            periodStartMillis = -1;
            return;
        }
        if (periodStartMillis < 0) {
            periodStartMillis = nowMillis;
            startedTokens = 0;
            return;
        }
        long elapsed = nowMillis - periodStartMillis;
        if (elapsed >= MEASUREMENT_PERIOD_MILLIS) {
            double rate = (double) startedTokens / elapsed;
            tokensPerMilli = tokensPerMilli == 0 ? rate : tokensPerMilli + SMOOTHING * (rate - tokensPerMilli);
            periodStartMillis = nowMillis;
            startedTokens = 0;
        }
    }

    /**
     * Adds started work to the current measurement.
     *
     * @param tokens The work in tokens.
     */
    void started(long tokens) {
        startedTokens += tokens;
    }

    /**
     * Predicts how long it takes to drain an amount of work.
     *
     * @param tokens The work in tokens.
     * @return The time in milliseconds; 0 while the rate is unknown.
     */
    long drainMillis(long tokens) {
        return tokensPerMilli <= 0 ? 0 : Math.round(tokens / tokensPerMilli);
    }
}
