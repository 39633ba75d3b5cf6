package org.cranberrygauge.decision.capacity;

import java.util.Arrays;
import java.util.Collection;

/** The median, which a minority of wrong values does not move far. Stateless and thread-safe. */
final class Medians {

    private Medians() {}

    /**
     * Returns the median of some values.
     *
     * @param values The values; at least one.
     * @return The middle value, or the mean of the two middle ones.
     */
    static double of(Collection<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(sorted);
        int upper = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[upper] : (sorted[upper - 1] + sorted[upper]) / 2;
    }
}
