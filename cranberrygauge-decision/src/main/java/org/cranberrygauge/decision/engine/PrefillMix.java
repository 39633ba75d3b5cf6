package org.cranberrygauge.decision.engine;

/**
 * Learns how the prefill work of a pool divides between short and long prompts. Older requests count less. Not
 * thread-safe.
 */
public final class PrefillMix {

    /** The weight that a request keeps at each later one. */
    private static final double RETENTION = 0.995;

    /** The initial mix in tokens, which a few dozen requests outweigh. */
    private static final double INITIAL_SHORT_TOKENS = 9_000;

    private static final double INITIAL_LONG_TOKENS = 100_000;

    /**
     * The prefill work of an engine for short prompts as a fraction of that of an engine for long ones. Requests with
     * short prompts are mostly interactive, and prefill delays their tokens.
     */
    private static final double SHORT_ENGINE_LOAD_FRACTION = 0.5;

    /** The fraction that is reserved at least, since a burst of long prompts must not take the engines of chats. */
    private static final double MINIMUM_SHORT_FRACTION = 0.15;

    private double shortTokens = INITIAL_SHORT_TOKENS;

    private double longTokens = INITIAL_LONG_TOKENS;

    /**
     * Records a request that is sent to an engine.
     *
     * @param uncachedTokens The prompt tokens that the engine has to process.
     */
    public void record(boolean isShort, double uncachedTokens) {
        shortTokens = shortTokens * RETENTION + (isShort ? uncachedTokens : 0);
        longTokens = longTokens * RETENTION + (isShort ? 0 : uncachedTokens);
    }

    /** Returns the fraction of the engines, from 0 to 1, that requests with short prompts need for themselves. */
    public double shortEngineFraction() {
        return Math.max(MINIMUM_SHORT_FRACTION, shortTokens / (shortTokens + longTokens * SHORT_ENGINE_LOAD_FRACTION));
    }
}
