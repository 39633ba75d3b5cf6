package org.cranberrygauge.verification.capacity;

import java.util.List;

/**
 * All that the command measured and worked out.
 *
 * @param java The version of the Java platform.
 * @param processors The number of processors.
 * @param slopes The measured slopes.
 * @param estimates The costs at the target size.
 */
public record CapacityResults(String java, int processors, List<Slope> slopes, List<Estimate> estimates) {

    /** Copies the lists. */
    public CapacityResults {
        slopes = List.copyOf(slopes);
        estimates = List.copyOf(estimates);
    }
}
