package org.cranberrygauge.emulator.replay;

import java.util.Locale;

/** Profiles of traces, with the load of the chat classes relative to the capacity of all engines. */
public enum TraceProfile {
    /** Ordinary load without faults. */
    QUIET(0.65),
    /** The highest chat tier requests three times the capacity for a third of the time. */
    HIGH_TIER_BURST(0.65),
    /** The lowest chat tier requests three times the capacity for a third of the time. */
    LOW_TIER_BURST(0.65),
    /** One small customer of the highest chat tier requests one and a half times the capacity. */
    CUSTOMER_FLOOD(0.65),
    /** A few answers are very long. */
    HEAVY_TAIL(0.85),
    /** Prompts are long and start with one of a few prefixes. */
    SHARED_PREFIXES(0.75),
    /** One engine runs at a third of its speed for two thirds of the time. */
    SLOW_ENGINE(0.75),
    /** Load reports and counts arrive two seconds late throughout. */
    LATE_LOADS(0.9),
    /** All engines of one data centre are evicted and return. */
    DATA_CENTRE_EVICTION(0.75),
    /** The keys of customers are withdrawn and replaced, one after another. */
    KEY_CHURN(0.75),
    /** Three engines fail attempts, and callers retry immediately, regardless of the response. */
    RETRY_STORM(0.85),
    /** The log accepts no appends throughout. */
    LOG_OUTAGE(0.75),
    /** More than half of the requests arrive at one gateway. */
    UNEVEN_ARRIVAL(0.95),
    /** One gateway is killed. */
    GATEWAY_KILLED(0.85);

    private final double load;

    TraceProfile(double load) {
        this.load = load;
    }

    /** Returns the load of the chat classes relative to the capacity. */
    public double load() {
        return load;
    }

    /** Returns the name as written on the command line and in documents. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a profile by its name as written on the command line.
     *
     * @throws IllegalArgumentException If there is no such profile.
     */
    public static TraceProfile parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
