package org.cranberrygauge.emulator.engine;

/**
 * The speed of an engine.
 *
 * @param slots The number of requests that run at once.
 * @param tokenIntervalMillis The time between tokens of a lone request in milliseconds.
 * @param loadSlope The part by which the interval grows when all slots run.
 * @param prefillTokensPerSecond The number of prompt tokens that are read in a second.
 */
public record EngineSpeed(int slots, double tokenIntervalMillis, double loadSlope, double prefillTokensPerSecond) {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the time between tokens.
     *
     * @param running The number of requests that run.
     * @param slowness The factor by which the engine is slowed down.
     * @return The time in milliseconds.
     */
    public double intervalMillis(int running, double slowness) {
        return tokenIntervalMillis * slowness * (1 + loadSlope * Math.min(1, (double) running / slots));
    }

    /**
     * Returns the time until the prompt is read.
     *
     * @param uncachedTokens The prompt tokens that are not cached.
     * @param slowness The factor by which the engine is slowed down.
     * @return The time in milliseconds.
     */
    public double prefillMillis(int uncachedTokens, double slowness) {
        return slowness * MILLIS_PER_SECOND * uncachedTokens / prefillTokensPerSecond;
    }
}
