package org.cranberrygauge.verification.faults;

/**
 * A fault injected at a step.
 *
 * @param step The step; the fault is injected when it is first reached.
 * @param after Whether the fault is injected right after the step rather than right before.
 */
record FaultInjection(Fault fault, Step step, boolean after) {

    @Override
    public String toString() {
        return fault + (after ? " after " : " before ") + step;
    }
}
