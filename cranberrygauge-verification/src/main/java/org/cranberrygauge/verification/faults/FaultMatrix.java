package org.cranberrygauge.verification.faults;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The results of the cells of the matrix, in the order of the cells.
 *
 * <p>Immutable and safe for use by several threads.
 */
record FaultMatrix(List<CellResult> results) {

    FaultMatrix {
        results = List.copyOf(results);
    }

    /** Runs cells in parallel with the given mechanisms switched off. */
    static FaultMatrix run(List<Cell> cells, Set<Mechanism> off) {
        return new FaultMatrix(cells.parallelStream().map(cell -> cell.run(off)).toList());
    }

    /** Returns the runs that violated an invariant. */
    List<CellResult> failures() {
        return results.stream().filter(CellResult::failed).toList();
    }

    /** Counts the outcomes of each invariant. */
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
     * @param passed The number of runs in which it held and the work was done.
     * @param degraded The number of runs in which it held and the work was refused, late, lost or of unknown outcome.
     * @param failed The number of runs in which it was violated.
     * @param notReached The number of runs in which a fault was not injected because its step was never reached.
     */
    record Counts(int run, int passed, int degraded, int failed, int notReached) {

        private static Counts of(Finding.Outcome outcome, boolean reached) {
            return new Counts(
                    1,
                    outcome == Finding.Outcome.PASSED ? 1 : 0,
                    outcome == Finding.Outcome.DEGRADED ? 1 : 0,
                    outcome == Finding.Outcome.FAILED ? 1 : 0,
                    reached ? 0 : 1);
        }

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
