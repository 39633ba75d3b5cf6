package org.cranberrygauge.verification.policy;

import java.nio.file.Path;
import java.util.List;

/** Draws the plots of the measurements. */
final class PolicyPlots {

    /** Prevents instances. */
    private PolicyPlots() {}

    /**
     * Draws the plots.
     *
     * @param directory The directory.
     * @param runs The runs.
     */
    static void write(Path directory, List<PolicyRun> runs) {}
}
