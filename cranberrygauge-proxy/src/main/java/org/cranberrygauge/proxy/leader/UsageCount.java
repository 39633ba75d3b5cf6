package org.cranberrygauge.proxy.leader;

import java.util.Map;

/**
 * The requests that began in one window at one start of a host so far.
 *
 * @param incarnation The start of the host.
 * @param window The window.
 * @param byCustomer The requests by customer.
 */
public record UsageCount(String incarnation, long window, Map<String, Long> byCustomer) {

    /** Copies the map. */
    public UsageCount {
        byCustomer = Map.copyOf(byCustomer);
    }
}
