package org.cranberrygauge.model.customer;

import java.util.List;
import java.util.Set;

/**
 * A customer with its keys and permissions.
 *
 * @param name The name, unique in the deployment.
 * @param weight The weight in fair sharing within a service class.
 * @param keys The valid keys.
 * @param classes The names of the service classes that the customer may use.
 */
public record Customer(String name, int weight, List<CustomerKey> keys, Set<String> classes) {

    public Customer {
        keys = List.copyOf(keys);
        classes = Set.copyOf(classes);
    }

    public Customer withKeys(List<CustomerKey> replacement) {
        return new Customer(name, weight, replacement, classes);
    }

    /** Returns a copy with other service classes. */
    public Customer withClasses(Set<String> replacement) {
        return new Customer(name, weight, keys, replacement);
    }

    /** Returns a copy with another weight. */
    public Customer withWeight(int replacement) {
        return new Customer(name, replacement, keys, classes);
    }
}
