package org.cranberrygauge.verification.capacity;

import java.util.Comparator;
import java.util.List;

/**
 * The growth of one cost with one size.
 *
 * @param sizeUnit What the size counts.
 * @param valueUnit The unit of the cost.
 */
public record Slope(String name, String sizeUnit, String valueUnit, List<Sample> samples, LinearFit fit) {

    public Slope {
        samples = List.copyOf(samples);
    }

    /** Fits a line through samples. */
    public static Slope of(String name, String sizeUnit, String valueUnit, List<Sample> samples) {
        return new Slope(name, sizeUnit, valueUnit, samples, LinearFit.of(samples));
    }

    /**
     * Returns the cost at a size, which is never negative: interpolated between measured sizes, on the fitted line
     * outside of them.
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

    private static double interpolate(Sample below, Sample above, double size) {
        if (above.x() == below.x()) {
            return above.y();
        }
        return below.y() + (above.y() - below.y()) * (size - below.x()) / (above.x() - below.x());
    }

    /** Tells whether a size lies outside the measured range. */
    public boolean isExtrapolated(double size) {
        double smallest = samples.stream().mapToDouble(Sample::x).min().orElseThrow();
        double largest = samples.stream().mapToDouble(Sample::x).max().orElseThrow();
        return size < smallest || size > largest;
    }
}
