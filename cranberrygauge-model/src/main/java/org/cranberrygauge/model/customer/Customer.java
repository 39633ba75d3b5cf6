package org.cranberrygauge.model.customer;

import java.util.List;
import java.util.Set;

/**
 * A customer, its keys and what it may use.
 *
 * @param name The name, unique in the deployment.
 * @param weight The weight of the fair share within a class.
 * @param keys The keys that work.
 * @param classes The names of the classes it may use.
 */
public record Customer(String name, int weight, List<CustomerKey> keys, Set<String> classes) {

    /** Copies the collections. */
    public Customer {
        keys = List.copyOf(keys);
        classes = Set.copyOf(classes);
    }

    /**
     * Replaces the keys.
     *
     * @param replacement The new keys.
     * @return The refined customer.
     */
    public Customer withKeys(List<CustomerKey> replacement) {
        return new Customer(name, weight, replacement, classes);
    }

    /**
     * Replaces the classes.
     *
     * @param replacement The names of the new classes.
     * @return The refined customer.
     */
    public Customer withClasses(Set<String> replacement) {
        return new Customer(name, weight, keys, replacement);
    }

    /**
     * Replaces the weight.
     *
     * @param replacement The new weight.
     * @return The refined customer.
     */
    public Customer withWeight(int replacement) {
        return new Customer(name, replacement, keys, classes);
    }
}
