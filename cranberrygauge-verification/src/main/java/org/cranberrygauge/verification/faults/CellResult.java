package org.cranberrygauge.verification.faults;

import java.util.List;

/**
 * The result of one run.
 *
 * @param scenario The scenario after the run.
 * @param reached Whether all faults were injected.
 * @param trace The events of the run, with their times.
 */
record CellResult(Cell cell, Scenario scenario, List<Finding> findings, boolean reached, List<String> trace) {

    CellResult {
        findings = List.copyOf(findings);
        trace = List.copyOf(trace);
    }

    /** Tells whether an invariant was violated. */
    boolean failed() {
        return findings.stream().anyMatch(finding -> finding.outcome() == Finding.Outcome.FAILED);
    }
}
