package org.cranberrygauge.verification.faults;

import java.util.function.Supplier;

/** The protocols of the matrix. */
enum Protocol {
    /** A keyed call on an at-most-once route. */
    AT_MOST_ONCE("call with an idempotency key, at most once", AtMostOnceScenario::new),
    STREAM("chat stream", StreamScenario::new),
    LEASE_FENCING(
            "lease and orders, platform checks fencing numbers",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_FENCING)),
    LEASE_DEADLINE(
            "lease and orders, platform checks deadlines only",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_DEADLINE)),
    /** Lease and orders where the platform checks nothing. */
    LEASE_UNCHECKED(
            "lease and orders, platform checks nothing",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_NOTHING)),
    /** A change of the configuration. */
    CONFIGURATION("withdrawal of a key", ConfigurationScenario::new),
    USAGE("usage deltas, windows and reports", UsageScenario::new),
    DRAIN("draining of a backend server", DrainScenario::new);

    private final String title;

    private final Supplier<Scenario> factory;

    Protocol(String title, Supplier<Scenario> factory) {
        this.title = title;
        this.factory = factory;
    }

    String title() {
        return title;
    }

    Scenario scenario() {
        return factory.get();
    }
}
