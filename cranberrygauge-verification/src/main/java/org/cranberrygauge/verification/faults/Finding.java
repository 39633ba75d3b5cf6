package org.cranberrygauge.verification.faults;

/**
 * The outcome of one invariant in a run.
 *
 * @param detail The figures that the outcome follows from, as counted by the emulated external systems.
 */
record Finding(Invariant invariant, Outcome outcome, String detail) {

    /** The outcomes of an invariant, from best to worst. */
    enum Outcome {
        /** The invariant held and the work was done. */
        PASSED,
        /** The invariant held, but the work was refused, late, lost or of unknown outcome, which is allowed. */
        DEGRADED,
        /** The invariant was violated. */
        FAILED
    }

    /** Creates a finding; a violation outweighs degraded work. */
    static Finding of(Invariant invariant, boolean broken, boolean degraded, String detail) {
        Outcome outcome = broken ? Outcome.FAILED : degraded ? Outcome.DEGRADED : Outcome.PASSED;
        return new Finding(invariant, outcome, detail);
    }
}
