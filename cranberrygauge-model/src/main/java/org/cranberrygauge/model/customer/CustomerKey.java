package org.cranberrygauge.model.customer;

/**
 * A key of a customer, of which only the digest is kept.
 *
 * @param name The name of the key, unique for its customer.
 */
public record CustomerKey(String name, KeyDigest digest) {}
