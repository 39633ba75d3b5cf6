package org.cranberrygauge.proxy.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How many backend servers of a pool may be ordered, and their prices. Immutable.
 *
 * @param minimum The minimum number in each data centre.
 * @param maximum The maximum number in each data centre.
 * @param bootMillis The time from an order until the backend server accepts requests, in milliseconds.
 * @param cheapPrice The price of a cheap, reclaimable backend server as a fraction of a regular one's.
 * @param dataCentrePrices The price per second of a regular backend server, by data centre.
 */
public record FleetLimits(
        int minimum, int maximum, long bootMillis, double cheapPrice, Map<String, Double> dataCentrePrices) {

    public FleetLimits {
        dataCentrePrices = Map.copyOf(dataCentrePrices);
    }

    /** Returns these limits without some data centres, in which none may be ordered. */
    public FleetLimits without(Set<String> dataCentres) {
        Map<String, Double> remaining = new HashMap<>(dataCentrePrices);
        remaining.keySet().removeAll(dataCentres);
        return new FleetLimits(minimum, maximum, bootMillis, cheapPrice, remaining);
    }
}
