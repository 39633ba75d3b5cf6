package org.cranberrygauge.verification.faults;

import java.util.List;

/** A simulated run of one protocol, with the processes it needs and the invariants that must hold at its end. */
interface Scenario {

    /** Returns the steps at which faults are injected. */
    List<Step> steps();

    /** Runs the protocol and returns the outcome of each invariant. */
    List<Finding> run(SimulationContext context);
}
