package org.cranberrygauge.runtime.state;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.Membership;

/**
 * The sections that follow from the log, published together.
 *
 * @param configuration The configuration in force.
 * @param keys The index of its keys.
 * @param lease The lease.
 * @param members The gateways.
 * @param drains The drains.
 */
public record LogDerivedState(
        ConfigurationState configuration, KeyIndex keys, LeaseState lease, Membership members, DrainState drains) {

    /**
     * Returns the sections before anything was read.
     *
     * @return The initial sections.
     */
    public static LogDerivedState initial() {
        return new LogDerivedState(
                ConfigurationState.initial(),
                KeyIndex.empty(),
                LeaseState.initial(),
                Membership.initial(),
                DrainState.initial());
    }
}
