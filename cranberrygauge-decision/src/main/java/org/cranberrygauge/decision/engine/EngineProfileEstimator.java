package org.cranberrygauge.decision.engine;

/**
 * Learns the profile of a pool's engines from the requests that one host sends to them.
 *
 * <p>The time to the first event is fitted as a line over the tokens to be processed before it. Older requests count
 * less, and the initial profile counts as a few requests, so that a few dozen outweigh it. Not thread-safe.
 */
public final class EngineProfileEstimator {

    /** The weight that an observation keeps at each later one. */
    private static final double RETENTION = 0.99;

    /** The weight of the initial profile: that of as many requests of each of the two lengths below. */
    private static final double INITIAL_WEIGHT = 8;

    private static final double SHORT_PREFILL_TOKENS = 1_000;

    private static final double LONG_PREFILL_TOKENS = 10_000;

    /** The multiple of the predicted time above which an observation is cut off, since the request was held up. */
    private static final double MAXIMUM_RATIO = 3;

    /** The range of the fitted speed in tokens per millisecond, which bounds the effect of few or odd observations. */
    private static final double MINIMUM_TOKENS_PER_MILLI = 1;

    private static final double MAXIMUM_TOKENS_PER_MILLI = 2_000;

    private double weight;

    private double tokenSum;

    private double millisSum;

    private double tokenSquareSum;

    private double productSum;

    private double residenceWeight;

    private double residenceSum;

    private EngineProfile profile = EngineProfile.INITIAL;

    public EngineProfileEstimator() {
        addFirstEvent(INITIAL_WEIGHT, SHORT_PREFILL_TOKENS, profile.firstEventMillis(SHORT_PREFILL_TOKENS));
        addFirstEvent(INITIAL_WEIGHT, LONG_PREFILL_TOKENS, profile.firstEventMillis(LONG_PREFILL_TOKENS));
        residenceWeight = INITIAL_WEIGHT * LONG_PREFILL_TOKENS;
        residenceSum = residenceWeight * profile.residenceMillis();
    }

    /**
     * Records the first event of a request.
     *
     * @param tokens The uncached prompt tokens of the request and of those that the engine had to process before it.
     * @param millis The time from sending the request to its first event in milliseconds.
     */
    public void recordFirstEvent(double tokens, double millis) {
        weight *= RETENTION;
        tokenSum *= RETENTION;
        millisSum *= RETENTION;
        tokenSquareSum *= RETENTION;
        productSum *= RETENTION;
        addFirstEvent(1, tokens, Math.min(millis, MAXIMUM_RATIO * profile.firstEventMillis(tokens)));
        profile = fitted();
    }

    /**
     * Records a request that ended.
     *
     * @param tokens The tokens that it held.
     * @param millis The time for which it held them in milliseconds.
     */
    public void recordEnd(double tokens, double millis) {
        residenceWeight = residenceWeight * RETENTION + tokens;
        residenceSum = residenceSum * RETENTION + tokens * millis;
        profile = new EngineProfile(profile.overheadMillis(), profile.tokensPerMilli(), residenceSum / residenceWeight);
    }

    public EngineProfile profile() {
        return profile;
    }

    private void addFirstEvent(double count, double tokens, double millis) {
        weight += count;
        tokenSum += count * tokens;
        millisSum += count * millis;
        tokenSquareSum += count * tokens * tokens;
        productSum += count * tokens * millis;
    }

    /** Fits the line by least squares; without a spread of lengths, the speed stays as it is. */
    private EngineProfile fitted() {
        double spread = weight * tokenSquareSum - tokenSum * tokenSum;
        double millisPerToken =
                spread > 0 ? (weight * productSum - tokenSum * millisSum) / spread : 1 / profile.tokensPerMilli();
        millisPerToken = Math.max(1 / MAXIMUM_TOKENS_PER_MILLI, Math.min(1 / MINIMUM_TOKENS_PER_MILLI, millisPerToken));
        double overheadMillis = Math.max(0, (millisSum - millisPerToken * tokenSum) / weight);
        return new EngineProfile(overheadMillis, 1 / millisPerToken, profile.residenceMillis());
    }
}
