package org.cranberrygauge.verification.policy;

import java.util.List;

/** Writes the page of measurements. */
final class MeasurementPage {

    /** Prevents instances. */
    private MeasurementPage() {}

    /**
     * Writes the page.
     *
     * @param runs The runs.
     * @param seed The seed.
     * @return The page.
     */
    static String render(List<PolicyRun> runs, long seed) {
        return "";
    }
}
