package org.cranberrygauge.model.configuration;

import java.util.Locale;
import org.cranberrygauge.model.backend.Supply;

/**
 * A pool of backend servers that may be ordered from the platform.
 *
 * @param supply The kind of capacity that the servers are ordered as.
 * @param minimum The number of servers that are always kept ordered.
 * @param maximum The number of servers that is never exceeded.
 * @param costPerHour The cost of one server per hour in the currency of the deployment.
 */
public record FleetPool(String dataCentre, String model, Supply supply, int minimum, int maximum, double costPerHour) {

    /** Returns the name of the pool. */
    public String name() {
        return dataCentre + "/" + model + "/" + supply.name().toLowerCase(Locale.ROOT);
    }
}
