package org.cranberrygauge.proxy.leader;

import java.util.Map;

/**
 * The final figures of a usage window.
 *
 * @param window The number of the window.
 * @param byCustomer The number of requests by customer.
 * @param era The era of the shared log in which they were decided; {@link #UNKNOWN_ERA} if that is not known.
 */
public record UsageDecision(long window, Map<String, Long> byCustomer, long era) {

    /** The era of a decision whose record names none; no log is in it. */
    public static final long UNKNOWN_ERA = -1;

    public UsageDecision {
        byCustomer = Map.copyOf(byCustomer);
    }
}
