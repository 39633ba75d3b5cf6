package org.cranberrygauge.verification.faults;

/**
 * What a run showed of one invariant.
 *
 * @param invariant The invariant.
 * @param outcome How it came out.
 * @param detail What was counted at the far end.
 */
record Finding(Invariant invariant, Outcome outcome, String detail) {

    /** How an invariant came out. */
    enum Outcome {
        /** It held, and the work was done. */
        PASSED,
        /** It held, but the work was refused, late, lost or of unknown outcome, which is allowed. */
        DEGRADED,
        /** It was broken. */
        FAILED
    }

    /**
     * Judges an invariant.
     *
     * @param invariant The invariant.
     * @param broken Whether it was broken.
     * @param degraded Whether the work was not done as it should.
     * @param detail What was counted at the far end.
     * @return The finding.
     */
    static Finding of(Invariant invariant, boolean broken, boolean degraded, String detail) {
        Outcome outcome = broken ? Outcome.FAILED : degraded ? Outcome.DEGRADED : Outcome.PASSED;
        return new Finding(invariant, outcome, detail);
    }
}
