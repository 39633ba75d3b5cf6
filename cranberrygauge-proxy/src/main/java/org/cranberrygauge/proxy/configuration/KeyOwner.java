package org.cranberrygauge.proxy.configuration;

import java.util.OptionalInt;
import java.util.Set;

/**
 * The customer that owns a key.
 *
 * @param customer The name of the customer.
 * @param priority The customer's priority, which overrides that of the route; 0 is the most urgent.
 * @param homes The regions that the customer's requests may be sent to; empty if any.
 */
public record KeyOwner(String customer, OptionalInt priority, Set<String> homes) {

    public KeyOwner {
        homes = Set.copyOf(homes);
    }
}
