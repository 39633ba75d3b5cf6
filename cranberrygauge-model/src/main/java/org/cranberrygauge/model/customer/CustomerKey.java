package org.cranberrygauge.model.customer;

/**
 * A key of a customer, kept as its digest only.
 *
 * @param name The name of the key, unique for its customer.
 * @param digest The digest of the key.
 */
public record CustomerKey(String name, KeyDigest digest) {}
