package org.cranberrygauge.decision.topology;

/**
 * The FNV-1a hash, which is the same in every process.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class StableHash {

    /** The hash of nothing. */
    public static final long START = 0xcbf29ce484222325L;

    /** The factor of the hash. */
    private static final long PRIME = 0x100000001b3L;

    /** Prevents instances. */
    private StableHash() {}

    /**
     * Takes a value into a hash.
     *
     * @param before The hash before.
     * @param value The value.
     * @return The hash after.
     */
    public static long update(long before, int value) {
        return (before ^ value) * PRIME;
    }

    /**
     * Takes a text into a hash.
     *
     * @param before The hash before.
     * @param text The text.
     * @return The hash after.
     */
    public static long update(long before, String text) {
        long hash = before;
        for (int index = 0; index < text.length(); index++) {
            hash = update(hash, text.charAt(index));
        }
        return hash;
    }
}
