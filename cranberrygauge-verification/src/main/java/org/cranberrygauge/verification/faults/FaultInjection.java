package org.cranberrygauge.verification.faults;

/**
 * A fault at a step.
 *
 * @param fault The fault.
 * @param step The step, when it is first reached.
 * @param after Whether the fault comes right after the step rather than right before.
 */
record FaultInjection(Fault fault, Step step, boolean after) {

    @Override
    public String toString() {
        return fault + (after ? " after " : " before ") + step;
    }
}
