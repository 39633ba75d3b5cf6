package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The customer, key and service class that a request is accounted to.
 *
 * @param customer The owner of the key, or a placeholder if there is no key.
 * @param key The digest of the key, or null on a route that needs no key.
 * @param serviceClass The class in which the request is queued.
 */
public record Caller(Customer customer, KeyDigest key, ServiceClass serviceClass) {}
