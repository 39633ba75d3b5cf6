package org.cranberrygauge.decision.engine;

/**
 * The recent prefill work of a pool, divided between short and long prompts. Immutable.
 *
 * @param shortTokens The uncached tokens of short prompts.
 * @param longTokens The uncached tokens of long prompts.
 */
public record PrefillTokens(double shortTokens, double longTokens) {

    public static final PrefillTokens NONE = new PrefillTokens(0, 0);

    /**
     * The prefill work of an engine for short prompts as a fraction of that of an engine for long ones. Requests with
     * short prompts are mostly interactive, and prefill delays their tokens.
     */
    private static final double SHORT_ENGINE_LOAD_FRACTION = 0.5;

    /** The fraction that is reserved at least, since a burst of long prompts must not take the engines of chats. */
    private static final double MINIMUM_SHORT_FRACTION = 0.15;

    /** Returns the sum of this work and another. */
    public PrefillTokens plus(PrefillTokens other) {
        return new PrefillTokens(shortTokens + other.shortTokens, longTokens + other.longTokens);
    }

    /** Returns the fraction of the engines, from 0 to 1, that requests with short prompts need for themselves. */
    public double shortEngineFraction() {
        double weighted = shortTokens + longTokens * SHORT_ENGINE_LOAD_FRACTION;
        return weighted > 0 ? Math.max(MINIMUM_SHORT_FRACTION, shortTokens / weighted) : MINIMUM_SHORT_FRACTION;
    }
}
