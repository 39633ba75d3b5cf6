package org.cranberrygauge.proxy.configuration;

import java.util.OptionalInt;

/**
 * The customer that owns a key.
 *
 * @param customer The name of the customer.
 * @param priority The customer's priority, which overrides that of the route; 0 is the most urgent.
 */
public record KeyOwner(String customer, OptionalInt priority) {}
