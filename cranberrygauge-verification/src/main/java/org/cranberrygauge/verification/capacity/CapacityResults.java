package org.cranberrygauge.verification.capacity;

import java.util.List;

/**
 * All measured slopes and the estimates that follow from them.
 *
 * @param java The version of the Java platform.
 * @param processors The number of processors of the machine.
 * @param estimates The estimates at the target size.
 */
public record CapacityResults(String java, int processors, List<Slope> slopes, List<Estimate> estimates) {

    public CapacityResults {
        slopes = List.copyOf(slopes);
        estimates = List.copyOf(estimates);
    }
}
