package org.cranberrygauge.decision.estimate;

/**
 * A histogram of output lengths with exponentially growing buckets, in which older lengths lose weight.
 *
 * <p>Invariants: memory use is constant. Not thread-safe; callers serialize access.
 */
final class LengthHistogram {

    /** The ratio of the upper bounds of two adjacent buckets. */
    private static final double GROWTH = 1.2;

    private static final int BUCKETS = 64;

    /** The total weight at which all weights are halved. */
    private static final double HALVING_WEIGHT = 1_000;

    private final float[] weights = new float[BUCKETS];

    /** The sum of the weights. */
    private double total;

    /** Adds a length. */
    void add(int tokens) {
        weights[bucket(tokens)]++;
        total++;
        if (total >= HALVING_WEIGHT) {
            for (int index = 0; index < BUCKETS; index++) {
                weights[index] /= 2;
            }
            total /= 2;
        }
    }

    /** Returns the number of lengths, in which older ones count less. */
    double count() {
        return total;
    }

    /**
     * Returns a quantile of the lengths above a bound.
     *
     * @param quantile The quantile from 0 to 1.
     * @param above The bound in tokens.
     * @return The length in tokens; one bucket above the bound if no length is above it.
     */
    int quantileAbove(double quantile, int above) {
        int first = above <= 0 ? 0 : Math.min(BUCKETS - 1, bucket(above) + 1);
        double weightAbove = 0;
        for (int index = first; index < BUCKETS; index++) {
            weightAbove += weights[index];
        }
        double remainingWeight = quantile * weightAbove;
        for (int index = first; index < BUCKETS; index++) {
            remainingWeight -= weights[index];
            if (remainingWeight <= 0 && weights[index] > 0) {
                return upperBound(index);
            }
        }
        return upperBound(first);
    }

    private static int bucket(int tokens) {
        int index = (int) Math.ceil(Math.log(Math.max(1, tokens)) / Math.log(GROWTH));
        return Math.min(BUCKETS - 1, index);
    }

    /**
     * Returns the upper bound of a bucket.
     *
     * @return The length in tokens.
     */
    private static int upperBound(int index) {
        return (int) Math.round(Math.pow(GROWTH, index));
    }
}
