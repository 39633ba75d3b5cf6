package org.cranberrygauge.model.configuration;

import java.util.Locale;
import org.cranberrygauge.model.backend.Supply;

/**
 * A pool of backend servers that may be ordered from the platform.
 *
 * @param dataCentre The name of the data centre.
 * @param model The model.
 * @param supply How the servers are supplied.
 * @param minimum The number that is always kept ordered.
 * @param maximum The number that is never exceeded.
 * @param costPerHour The cost of one server for an hour in the deployment's currency.
 */
public record FleetPool(String dataCentre, String model, Supply supply, int minimum, int maximum, double costPerHour) {

    /**
     * Returns the name of the pool.
     *
     * @return The name.
     */
    public String name() {
        return dataCentre + "/" + model + "/" + supply.name().toLowerCase(Locale.ROOT);
    }
}
