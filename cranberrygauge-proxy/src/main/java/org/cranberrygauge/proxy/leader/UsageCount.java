package org.cranberrygauge.proxy.leader;

import java.util.Map;

/**
 * The requests that started running in one usage window at one incarnation of a host so far. Immutable.
 *
 * @param incarnation The incarnation of the host.
 * @param window The number of the usage window.
 * @param byCustomer The number of requests by customer.
 */
public record UsageCount(String incarnation, long window, Map<String, Long> byCustomer) {

    public UsageCount {
        byCustomer = Map.copyOf(byCustomer);
    }
}
