package org.cranberrygauge.verification.faults;

import java.util.List;

/** One protocol with the actors that it needs, and what must hold at its end. */
interface Scenario {

    /**
     * Returns the steps at which faults are injected.
     *
     * @return The steps.
     */
    List<Step> steps();

    /**
     * Runs the protocol.
     *
     * @param world The clock, the log and the faults.
     * @return What the run showed of each invariant.
     */
    List<Finding> run(SimulationContext world);
}
