package org.cranberrygauge.verification.capacity;

import java.util.Comparator;
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
     * Returns the cost at a size: between two measured sizes by interpolation, outside of them by the fitted line.
     *
     * @param size The size.
     * @return The cost, never less than nothing.
     */
    public double at(double size) {
        if (isExtrapolated(size)) {
            return Math.max(0, fit.at(size));
        }
        List<Sample> ordered =
                samples.stream().sorted(Comparator.comparingDouble(Sample::x)).toList();
        Sample below = ordered.get(0);
        for (Sample above : ordered) {
            if (above.x() >= size) {
                return interpolate(below, above, size);
            }
            below = above;
        }
        return below.y();
    }

    /**
     * Interpolates between two points.
     *
     * @param below The point at or below the size.
     * @param above The point at or above the size.
     * @param size The size.
     * @return The value.
     */
    private static double interpolate(Sample below, Sample above, double size) {
        if (above.x() == below.x()) {
            return above.y();
        }
        return below.y() + (above.y() - below.y()) * (size - below.x()) / (above.x() - below.x());
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
