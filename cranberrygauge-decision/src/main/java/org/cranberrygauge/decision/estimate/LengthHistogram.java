package org.cranberrygauge.decision.estimate;

/**
 * The lengths of answers, in buckets that grow by a constant factor, with older ones fading.
 *
 * <p>Invariants: memory doesn't grow with the number of answers. Used by one thread at a time.
 */
final class LengthHistogram {

    /** The factor between the bounds of two buckets. */
    private static final double GROWTH = 1.2;

    /** The number of buckets. */
    private static final int BUCKETS = 64;

    /** The total weight at which all weights are halved. */
    private static final double FADING_WEIGHT = 1_000;

    /** The weights of the buckets. */
    private final float[] weights = new float[BUCKETS];

    /** The sum of the weights. */
    private double total;

    /**
     * Adds a length.
     *
     * @param tokens The length in tokens.
     */
    void add(int tokens) {
        weights[bucket(tokens)]++;
        total++;
        if (total >= FADING_WEIGHT) {
            for (int index = 0; index < BUCKETS; index++) {
                weights[index] /= 2;
            }
            total /= 2;
        }
    }

    /**
     * Returns the number of lengths, older ones counting for less.
     *
     * @return The number.
     */
    double count() {
        return total;
    }

    /**
     * Returns a quantile of those lengths that are above a bound.
     *
     * @param quantile The quantile from 0 to 1.
     * @param above The bound in tokens.
     * @return The length in tokens; a bucket above the bound if no length is.
     */
    int quantileAbove(double quantile, int above) {
        int first = above <= 0 ? 0 : Math.min(BUCKETS - 1, bucket(above) + 1);
        double left = 0;
        for (int index = first; index < BUCKETS; index++) {
            left += weights[index];
        }
        double wanted = quantile * left;
        for (int index = first; index < BUCKETS; index++) {
            wanted -= weights[index];
            if (wanted <= 0 && weights[index] > 0) {
                return upperBound(index);
            }
        }
        return upperBound(first);
    }

    /**
     * Finds the bucket of a length.
     *
     * @param tokens The length in tokens.
     * @return The position of the bucket.
     */
    private static int bucket(int tokens) {
        int index = (int) Math.ceil(Math.log(Math.max(1, tokens)) / Math.log(GROWTH));
        return Math.min(BUCKETS - 1, index);
    }

    /**
     * Returns the upper bound of a bucket.
     *
     * @param index The position of the bucket.
     * @return The length in tokens.
     */
    private static int upperBound(int index) {
        return (int) Math.round(Math.pow(GROWTH, index));
    }
}
