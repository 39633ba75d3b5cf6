package org.cranberrygauge.decision.admission;

/**
 * The rate at which a target takes work while requests wait for it.
 *
 * <p>Invariants: only periods in which something waited count; the rate is unknown until the first such period is over.
 * Used by one thread at a time.
 */
final class DrainRate {

    /** The length of one measurement in milliseconds. */
    private static final long PERIOD_MILLIS = 1_000;

    /** The weight of the newest period. */
    private static final double SMOOTHING = 0.3;

    /** The smoothed rate in tokens a millisecond; 0 while unknown. */
    private double tokensPerMilli;

    /** The work started in the present period in tokens. */
    private long startedTokens;

    /** The beginning of the present period; negative while nothing waits. */
    private long periodStartMillis = -1;

    /**
     * Notes what waits, before a start or an arrival.
     *
     * @param nowMillis The present monotonic time in milliseconds.
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
        if (elapsed >= PERIOD_MILLIS) {
            double rate = (double) startedTokens / elapsed;
            tokensPerMilli = tokensPerMilli == 0 ? rate : tokensPerMilli + SMOOTHING * (rate - tokensPerMilli);
            periodStartMillis = nowMillis;
            startedTokens = 0;
        }
    }

    /**
     * Notes a start.
     *
     * @param tokens The work in tokens.
     */
    void started(long tokens) {
        startedTokens += tokens;
    }

    /**
     * Forecasts how long work takes to drain.
     *
     * @param tokens The work in tokens.
     * @return The time in milliseconds; 0 while the rate is unknown.
     */
    long drainMillis(long tokens) {
        return tokensPerMilli <= 0 ? 0 : Math.round(tokens / tokensPerMilli);
    }
}
