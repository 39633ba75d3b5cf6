package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Whose request it is.
 *
 * @param customer The customer.
 * @param key The digest of the key, or null on a route open to all.
 * @param serviceClass The class of the request.
 */
public record Caller(Customer customer, KeyDigest key, ServiceClass serviceClass) {}
