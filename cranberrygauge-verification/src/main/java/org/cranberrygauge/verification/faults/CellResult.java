package org.cranberrygauge.verification.faults;

import java.util.List;

/**
 * What one run showed.
 *
 * @param cell The run.
 * @param scenario The scenario after the run.
 * @param findings What it showed of each invariant.
 * @param reached Whether all faults were injected.
 * @param trace What happened.
 */
record CellResult(Cell cell, Scenario scenario, List<Finding> findings, boolean reached, List<String> trace) {

    /** Copies the lists. */
    CellResult {
        findings = List.copyOf(findings);
        trace = List.copyOf(trace);
    }

    /**
     * Tells whether an invariant was broken.
     *
     * @return Whether one was.
     */
    boolean failed() {
        return findings.stream().anyMatch(finding -> finding.outcome() == Finding.Outcome.FAILED);
    }
}
