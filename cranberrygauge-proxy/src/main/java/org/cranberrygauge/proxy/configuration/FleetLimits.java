package org.cranberrygauge.proxy.configuration;

import java.util.Map;

/**
 * How many backend servers of a pool may be ordered, and at what price.
 *
 * @param minimum The lowest number in each data centre.
 * @param maximum The highest number in each data centre.
 * @param bootMillis The time from an order until the backend server takes requests, in milliseconds.
 * @param cheapPrice The price of a reclaimable backend server as a share of a regular one's.
 * @param dataCentrePrices The price of a second of a regular backend server by data centre.
 */
public record FleetLimits(
        int minimum, int maximum, long bootMillis, double cheapPrice, Map<String, Double> dataCentrePrices) {

    /** Copies the map. */
    public FleetLimits {
        dataCentrePrices = Map.copyOf(dataCentrePrices);
    }
}
