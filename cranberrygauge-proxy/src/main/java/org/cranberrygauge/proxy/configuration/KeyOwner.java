package org.cranberrygauge.proxy.configuration;

import java.util.OptionalInt;

/**
 * The customer that holds a key.
 *
 * @param customer The name of the customer.
 * @param priority The customer's priority, which goes before that of a route; 0 is the most urgent.
 */
public record KeyOwner(String customer, OptionalInt priority) {}
