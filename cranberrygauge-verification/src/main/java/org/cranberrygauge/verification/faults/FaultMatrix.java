package org.cranberrygauge.verification.faults;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runs the cells of the matrix and counts what they showed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param results What each run showed, in the order of the cells.
 */
record FaultMatrix(List<CellResult> results) {

    /** Copies the list. */
    FaultMatrix {
        results = List.copyOf(results);
    }

    /**
     * Runs cells.
     *
     * @param cells The cells.
     * @param off The mechanisms that are off.
     * @return What they showed.
     */
    static FaultMatrix run(List<Cell> cells, Set<Mechanism> off) {
        return new FaultMatrix(cells.parallelStream().map(cell -> cell.run(off)).toList());
    }

    /**
     * Returns the runs that broke an invariant.
     *
     * @return The runs.
     */
    List<CellResult> failures() {
        return results.stream().filter(CellResult::failed).toList();
    }

    /**
     * Counts the outcomes of each invariant.
     *
     * @return The counts.
     */
    Map<Invariant, Counts> byInvariant() {
        Map<Invariant, Counts> counts = new EnumMap<>(Invariant.class);
        for (CellResult result : results) {
            for (Finding finding : result.findings()) {
                counts.merge(finding.invariant(), Counts.of(finding.outcome(), result.reached()), Counts::plus);
            }
        }
        return counts;
    }

    /**
     * The outcomes of one invariant.
     *
     * @param run The number of runs.
     * @param passed The number in which it held and the work was done.
     * @param degraded The number in which it held and the work was refused, late, lost or of unknown outcome.
     * @param failed The number in which it was broken.
     * @param notReached The number in which a fault was never injected, since its step was not reached.
     */
    record Counts(int run, int passed, int degraded, int failed, int notReached) {

        /**
         * Counts one outcome.
         *
         * @param outcome The outcome.
         * @param reached Whether all faults were injected.
         * @return The counts.
         */
        private static Counts of(Finding.Outcome outcome, boolean reached) {
            return new Counts(
                    1,
                    outcome == Finding.Outcome.PASSED ? 1 : 0,
                    outcome == Finding.Outcome.DEGRADED ? 1 : 0,
                    outcome == Finding.Outcome.FAILED ? 1 : 0,
                    reached ? 0 : 1);
        }

        /**
         * Adds other counts.
         *
         * @param other The other counts.
         * @return The sums.
         */
        private Counts plus(Counts other) {
            return new Counts(
                    run + other.run,
                    passed + other.passed,
                    degraded + other.degraded,
                    failed + other.failed,
                    notReached + other.notReached);
        }
    }
}
