package org.cranberrygauge.decision.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * An index of customers by the digest of their keys.
 *
 * <p>Immutable and thread-safe; replaced by a new index with each configuration.
 */
public final class KeyIndex {

    private static final KeyIndex EMPTY = new KeyIndex(Map.of());

    /** The key owners by the digest of the key. */
    private final Map<KeyDigest, Owner> owners;

    private KeyIndex(Map<KeyDigest, Owner> owners) {
        this.owners = owners;
    }

    /** Returns the index without any key. */
    public static KeyIndex empty() {
        return EMPTY;
    }

    /** Creates the index of all keys in a configuration. */
    public static KeyIndex of(Configuration configuration) {
        Map<KeyDigest, Owner> owners = new HashMap<>();
        for (Customer customer : configuration.customers()) {
            for (CustomerKey key : customer.keys()) {
                owners.put(key.digest(), new Owner(customer, key.name()));
            }
        }
        return new KeyIndex(Map.copyOf(owners));
    }

    /**
     * Returns the owner of a key.
     *
     * @return The owner, or empty if the key is unknown or withdrawn.
     */
    public Optional<Owner> owner(KeyDigest digest) {
        return Optional.ofNullable(owners.get(digest));
    }

    /** The customer that a key belongs to, with the name of the key. */
    public record Owner(Customer customer, String keyName) {}
}
