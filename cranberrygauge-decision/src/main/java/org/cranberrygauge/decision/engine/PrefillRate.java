package org.cranberrygauge.decision.engine;

/**
 * Measures how many prompt tokens one host sends to a pool in a millisecond. Unlike the tokens in flight, the rate does
 * not rise because engines are overloaded. Not thread-safe.
 */
public final class PrefillRate {

    /** The time after which a request counts by the factor 1/e. */
    private static final double TIME_CONSTANT_MILLIS = 2_000;

    private double tokensPerMilli;

    private long updatedMillis;

    /**
     * Records a request that is sent to an engine.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param uncachedTokens The prompt tokens that the engine has to process.
     */
    public void record(long nowMillis, double uncachedTokens) {
        tokensPerMilli = tokensPerMilli(nowMillis) + uncachedTokens / TIME_CONSTANT_MILLIS;
        updatedMillis = nowMillis;
    }

    /**
     * Returns the current rate in tokens per millisecond.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public double tokensPerMilli(long nowMillis) {
        return tokensPerMilli * Math.exp(-(nowMillis - updatedMillis) / TIME_CONSTANT_MILLIS);
    }
}
