package org.cranberrygauge.decision.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * An index from the digest of a key to its customer.
 *
 * <p>Immutable and safe for use by several threads; a new index replaces it with each configuration.
 */
public final class KeyIndex {

    /** The index without any key. */
    private static final KeyIndex EMPTY = new KeyIndex(Map.of());

    /** The customers by the digest of their keys. */
    private final Map<KeyDigest, Owner> owners;

    /**
     * Creates an index.
     *
     * @param owners The customers by the digest of their keys.
     */
    private KeyIndex(Map<KeyDigest, Owner> owners) {
        this.owners = owners;
    }

    /**
     * Returns the index without any key.
     *
     * @return The empty index.
     */
    public static KeyIndex empty() {
        return EMPTY;
    }

    /**
     * Builds the index of a configuration.
     *
     * @param configuration The configuration.
     * @return The index.
     */
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
     * Finds the owner of a key.
     *
     * @param digest The digest of the key.
     * @return The owner, or nothing if the key is unknown or withdrawn.
     */
    public Optional<Owner> owner(KeyDigest digest) {
        return Optional.ofNullable(owners.get(digest));
    }

    /**
     * The owner of a key.
     *
     * @param customer The customer.
     * @param keyName The name of the key.
     */
    public record Owner(Customer customer, String keyName) {}
}
