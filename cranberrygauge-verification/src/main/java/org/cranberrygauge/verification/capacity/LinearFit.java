package org.cranberrygauge.verification.capacity;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param intercept The value at size zero.
 * @param slope The growth per unit of size.
 * @param determination The coefficient of determination, from 0 to 1.
 * @param largestResidual The largest absolute residual, in the unit of the values.
 */
public record LinearFit(double intercept, double slope, double determination, double largestResidual) {

    /**
     * Fits a line.
     *
     * @param samples The points, at least two of them with different sizes.
     */
    public static LinearFit of(List<Sample> samples) {
        double meanX = samples.stream().mapToDouble(Sample::x).average().orElseThrow();
        double meanY = samples.stream().mapToDouble(Sample::y).average().orElseThrow();
        double covariance = 0;
        double varianceX = 0;
        double varianceY = 0;
        for (Sample sample : samples) {
            covariance += (sample.x() - meanX) * (sample.y() - meanY);
            varianceX += (sample.x() - meanX) * (sample.x() - meanX);
            varianceY += (sample.y() - meanY) * (sample.y() - meanY);
        }
        if (varianceX == 0) {
            throw new IllegalArgumentException("a line requires samples of at least two different sizes");
        }
        double slope = covariance / varianceX;
        double intercept = meanY - slope * meanX;
        double squares = 0;
        double largest = 0;
        for (Sample sample : samples) {
            double residual = sample.y() - (intercept + slope * sample.x());
            squares += residual * residual;
            largest = Math.max(largest, Math.abs(residual));
        }
        return new LinearFit(intercept, slope, varianceY == 0 ? 1 : 1 - squares / varianceY, largest);
    }

    /** Returns the value of the line at a size. */
    public double at(double x) {
        return intercept + slope * x;
    }
}
