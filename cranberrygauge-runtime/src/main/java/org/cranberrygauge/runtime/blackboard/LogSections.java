package org.cranberrygauge.runtime.blackboard;

import org.cranberrygauge.decision.configuration.ConfigurationMachine;
import org.cranberrygauge.decision.configuration.KeyRing;
import org.cranberrygauge.decision.drain.DrainRegister;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.Members;

/**
 * The sections that follow from the log, published together.
 *
 * @param configuration The configuration in force.
 * @param keys The index of its keys.
 * @param lease The lease.
 * @param members The gateways.
 * @param drains The drains.
 */
public record LogSections(
        ConfigurationMachine configuration, KeyRing keys, LeaseState lease, Members members, DrainRegister drains) {

    /**
     * Returns the sections before anything was read.
     *
     * @return The initial sections.
     */
    public static LogSections initial() {
        return new LogSections(
                ConfigurationMachine.initial(),
                KeyRing.empty(),
                LeaseState.initial(),
                Members.initial(),
                DrainRegister.initial());
    }
}
