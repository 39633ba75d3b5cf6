package org.cranberrygauge.verification.capacity;

import java.util.List;

/**
 * How one cost grows with one size.
 *
 * @param name The name.
 * @param sizeUnit What the size counts.
 * @param valueUnit The unit of the cost.
 * @param samples The measured points.
 * @param fit The line through them.
 */
public record Slope(String name, String sizeUnit, String valueUnit, List<Sample> samples, LinearFit fit) {

    /** Copies the list. */
    public Slope {
        samples = List.copyOf(samples);
    }

    /**
     * Fits a line through points.
     *
     * @param name The name.
     * @param sizeUnit What the size counts.
     * @param valueUnit The unit of the cost.
     * @param samples The measured points.
     * @return The slope.
     */
    public static Slope of(String name, String sizeUnit, String valueUnit, List<Sample> samples) {
        return new Slope(name, sizeUnit, valueUnit, samples, LinearFit.of(samples));
    }

    /**
     * Returns the cost at a size, never less than nothing.
     *
     * @param size The size.
     * @return The cost.
     */
    public double at(double size) {
        return Math.max(0, fit.at(size));
    }

    /**
     * Tells whether a size lies outside the measured sizes.
     *
     * @param size The size.
     * @return Whether a cost at it is extrapolated.
     */
    public boolean isExtrapolated(double size) {
        double smallest = samples.stream().mapToDouble(Sample::x).min().orElseThrow();
        double largest = samples.stream().mapToDouble(Sample::x).max().orElseThrow();
        return size < smallest || size > largest;
    }
}
