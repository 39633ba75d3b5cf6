package org.cranberrygauge.decision.engine;

/**
 * Learns how the prefill work of a pool divides between short and long prompts, from the requests of one host. Older
 * requests count less. Not thread-safe.
 */
public final class PrefillMix {

    /** The weight that a request keeps at each later one. */
    private static final double RETENTION = 0.99;

    /** The initial mix in tokens, which a few dozen requests outweigh. */
    private static final PrefillTokens INITIAL = new PrefillTokens(9_000, 100_000);

    private PrefillTokens tokens = INITIAL;

    /**
     * Records a request that is sent to an engine.
     *
     * @param uncachedTokens The prompt tokens that the engine has to process.
     */
    public void record(boolean isShort, double uncachedTokens) {
        tokens = new PrefillTokens(
                tokens.shortTokens() * RETENTION + (isShort ? uncachedTokens : 0),
                tokens.longTokens() * RETENTION + (isShort ? 0 : uncachedTokens));
    }

    /** Returns the recent prefill work that this host caused. */
    public PrefillTokens tokens() {
        return tokens;
    }
}
