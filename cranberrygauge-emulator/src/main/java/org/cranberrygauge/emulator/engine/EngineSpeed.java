package org.cranberrygauge.emulator.engine;

/**
 * How fast an engine processes prompts and generates tokens.
 *
 * @param slots The number of requests that can run concurrently.
 * @param tokenIntervalMillis The time between tokens of the only running request in milliseconds.
 * @param loadSlope The share by which the interval grows when all slots are in use.
 * @param prefillTokensPerSecond The number of prompt tokens that are processed per second.
 */
public record EngineSpeed(int slots, double tokenIntervalMillis, double loadSlope, double prefillTokensPerSecond) {

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Returns the time between tokens in milliseconds.
     *
     * @param running The number of running requests.
     * @param slowness The factor by which the engine is slowed down.
     */
    public double intervalMillis(int running, double slowness) {
        return tokenIntervalMillis * slowness * (1 + loadSlope * Math.min(1, (double) running / slots));
    }

    /**
     * Returns the time to process a prompt in milliseconds.
     *
     * @param uncachedTokens The number of prompt tokens that are not cached.
     * @param slowness The factor by which the engine is slowed down.
     */
    public double prefillMillis(int uncachedTokens, double slowness) {
        return slowness * MILLIS_PER_SECOND * uncachedTokens / prefillTokensPerSecond;
    }
}
