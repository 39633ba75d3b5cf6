package org.cranberrygauge.verification.faults;

import java.util.function.Supplier;

/** The protocols of the matrix. */
enum Protocol {
    /** A keyed call on an at-most-once route. */
    AT_MOST_ONCE("keyed call at most once", AtMostOnceScenario::new),
    /** A stream of a chat. */
    STREAM("stream of a chat", StreamScenario::new),
    /** Lease and orders where the platform checks the fencing number. */
    LEASE_FENCING(
            "lease and orders, platform checks fencing numbers",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_FENCING)),
    /** Lease and orders where the platform checks the deadline only. */
    LEASE_DEADLINE(
            "lease and orders, platform checks deadlines only",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_DEADLINE)),
    /** Lease and orders where the platform checks nothing. */
    LEASE_UNCHECKED(
            "lease and orders, platform checks nothing",
            () -> new LeaseScenario(LeaseScenario.PlatformCheck.CHECKS_NOTHING)),
    /** A change of the configuration. */
    CONFIGURATION("withdrawal of a key", ConfigurationScenario::new),
    /** Usage windows. */
    USAGE("usage deltas, windows and reports", UsageScenario::new),
    /** The emptying of a backend server. */
    DRAIN("emptying of a backend server", DrainScenario::new);

    /** The name for the page. */
    private final String title;

    /** Creates a scenario. */
    private final Supplier<Scenario> factory;

    /**
     * Creates a protocol.
     *
     * @param title The name for the page.
     * @param factory Creates a scenario.
     */
    Protocol(String title, Supplier<Scenario> factory) {
        this.title = title;
        this.factory = factory;
    }

    /**
     * Returns the name for the page.
     *
     * @return The name.
     */
    String title() {
        return title;
    }

    /**
     * Creates a scenario for one run.
     *
     * @return The scenario.
     */
    Scenario scenario() {
        return factory.get();
    }
}
