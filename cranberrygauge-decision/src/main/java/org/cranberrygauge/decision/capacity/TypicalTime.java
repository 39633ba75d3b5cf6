package org.cranberrygauge.decision.capacity;

/** A running geometric mean of a duration, in which the weight of outliers is bounded. Not thread-safe. */
final class TypicalTime {

    /** The weight of an observation once there are many. */
    private static final double MINIMUM_WEIGHT = 0.02;

    /** The limit on the difference, in natural logarithms, by which one observation moves the mean. */
    private static final double MAXIMUM_DIFFERENCE = 2;

    private double logarithm;

    private long observations;

    /**
     * Records an observation.
     *
     * @param millis The duration in milliseconds; positive.
     */
    void record(double millis) {
        double observed = Math.log(millis);
        observations++;
        if (observations == 1) {
            logarithm = observed;
        } else {
            double difference = Math.max(-MAXIMUM_DIFFERENCE, Math.min(MAXIMUM_DIFFERENCE, observed - logarithm));
            logarithm += difference * Math.max(MINIMUM_WEIGHT, 1.0 / observations);
        }
    }

    boolean isKnown() {
        return observations > 0;
    }

    /** Returns the estimate in milliseconds; 0 if there is none. */
    double millis() {
        return observations == 0 ? 0 : Math.exp(logarithm);
    }
}
