package org.cranberrygauge.decision.engine;

/**
 * How fast the engines of a pool are under their usual load. Immutable.
 *
 * @param overheadMillis The time to the first event of a request whose prompt is cached, in milliseconds.
 * @param tokensPerMilli The prompt tokens that an engine processes in a millisecond, beside its running requests.
 * @param residenceMillis The time that a token is held by a running request, in milliseconds.
 */
public record EngineProfile(double overheadMillis, double tokensPerMilli, double residenceMillis) {

    /** Assumed until requests show more. */
    public static final EngineProfile INITIAL = new EngineProfile(60, 37, 2_000);

    /** The prompt tokens that an engine processes at most in one step, beside the tokens of its running requests. */
    public static final int PREFILL_CHUNK_TOKENS = 4_096;

    /** The fraction of its time that an engine may spend on prefill without delaying the tokens of its requests. */
    private static final double PREFILL_TIME_FRACTION = 0.6;

    /** Returns the time in milliseconds that an engine takes to process prompt tokens. */
    public double prefillMillis(double tokens) {
        return tokens / tokensPerMilli;
    }

    /**
     * Predicts the time to the first event in milliseconds.
     *
     * @param tokens The uncached prompt tokens of the request and of those before it.
     */
    public double firstEventMillis(double tokens) {
        return overheadMillis + prefillMillis(tokens);
    }

    /**
     * Returns the tokens that the running requests of one engine may hold. By Little's law, the tokens held are those
     * that arrive in a millisecond times the milliseconds for which each is held.
     */
    public double sustainableTokens() {
        return tokensPerMilli * residenceMillis * PREFILL_TIME_FRACTION;
    }
}
