package org.cranberrygauge.runtime.blackboard;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.decision.membership.Membership;

/**
 * The state derived from the log, published as a whole.
 *
 * @param configuration The current configuration.
 * @param keys The index of the keys of the current configuration.
 * @param lease The current lease.
 * @param members The gateways that are members.
 * @param drains The drains in progress.
 */
public record LogDerivedState(
        ConfigurationState configuration, KeyIndex keys, LeaseState lease, Membership members, DrainState drains) {

    /** Returns the state before anything was read. */
    public static LogDerivedState initial() {
        return new LogDerivedState(
                ConfigurationState.initial(),
                KeyIndex.empty(),
                LeaseState.initial(),
                Membership.initial(),
                DrainState.initial());
    }
}
