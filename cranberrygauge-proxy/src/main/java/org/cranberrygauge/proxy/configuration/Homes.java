package org.cranberrygauge.proxy.configuration;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The regions that a request may be sent to. Immutable and thread-safe.
 *
 * @param regions The regions; empty if the request may be sent to any.
 */
public record Homes(Optional<Set<String>> regions) {

    /** Allows any region. */
    public static final Homes ANYWHERE = new Homes(Optional.empty());

    public Homes {
        regions = regions.map(Set::copyOf);
    }

    /**
     * Returns the regions that a route and a customer have in common, where both name some.
     *
     * @param route The regions of the route; empty if it allows any.
     * @param customer The regions of the customer; empty if it allows any.
     */
    public static Homes of(Set<String> route, Set<String> customer) {
        if (route.isEmpty() && customer.isEmpty()) {
            return ANYWHERE;
        }
        Set<String> common = new HashSet<>(route.isEmpty() ? customer : route);
        if (!customer.isEmpty()) {
            common.retainAll(customer);
        }
        return new Homes(Optional.of(common));
    }

    /** Tells whether no region is allowed, since the route and the customer have none in common. */
    public boolean isNowhere() {
        return regions.filter(Set::isEmpty).isPresent();
    }

    /**
     * Tells whether the request may be sent to a data centre.
     *
     * @param regionsByDataCentre The region of each data centre; one that is missing is in no allowed region.
     */
    public boolean allows(String dataCentre, Map<String, String> regionsByDataCentre) {
        return regions.isEmpty() || regions.get().contains(regionsByDataCentre.getOrDefault(dataCentre, ""));
    }
}
