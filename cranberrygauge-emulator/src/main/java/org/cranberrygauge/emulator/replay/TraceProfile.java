package org.cranberrygauge.emulator.replay;

import java.util.Locale;

/** The profiles of traces, with the load of the chat classes relative to the capacity of all engines. */
public enum TraceProfile {
    /** Ordinary load, and nothing goes wrong. */
    QUIET(0.65),
    /** The highest chat tier asks for three times the capacity for a third of the time. */
    HIGH_TIER_BURST(0.65),
    /** The lowest chat tier asks for three times the capacity for a third of the time. */
    LOW_TIER_BURST(0.65),
    /** One small customer of the highest chat tier asks for one and a half times the capacity. */
    CUSTOMER_FLOOD(0.65),
    /** Few answers are very long. */
    HEAVY_TAIL(0.85),
    /** Prompts are long, and most start with one of a few prefixes. */
    SHARED_PREFIXES(0.75),
    /** One engine runs at a third of its speed for two thirds of the time. */
    SLOW_ENGINE(0.75),
    /** Loads and counts arrive two seconds late throughout. */
    LATE_LOADS(0.9),
    /** All engines of one data centre vanish and come back. */
    DATA_CENTRE_EVICTION(0.75),
    /** The keys of customers are withdrawn and replaced, one after the other. */
    KEY_CHURN(0.75),
    /** Three engines fail attempts, and callers try again at once whatever they are told. */
    RETRY_STORM(0.85),
    /** The log takes no appends throughout. */
    LOG_OUTAGE(0.75),
    /** More than half of the requests arrive at one gateway. */
    UNEVEN_ARRIVAL(0.95),
    /** A gateway is killed. */
    GATEWAY_KILLED(0.85);

    /** The load of the chat classes relative to the capacity. */
    private final double load;

    /**
     * Creates a profile.
     *
     * @param load The load of the chat classes relative to the capacity.
     */
    TraceProfile(double load) {
        this.load = load;
    }

    /**
     * Returns the load of the chat classes.
     *
     * @return The load relative to the capacity.
     */
    public double load() {
        return load;
    }

    /**
     * Returns the name as written on the command line and in documents.
     *
     * @return The name.
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a profile by its written name.
     *
     * @param text The name.
     * @return The profile.
     * @throws IllegalArgumentException If there is no such profile.
     */
    public static TraceProfile parse(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
