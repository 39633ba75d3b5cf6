package org.cranberrygauge.decision.topology;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * The FNV-1a hash, which is the same in every process; bytes enter it by their checksums.
 *
 * <p>Stateless and thread-safe.
 */
public final class StableHash {

    /** The initial value of the hash (the FNV offset basis). */
    public static final long START = 0xcbf29ce484222325L;

    /** The multiplier of the hash (the FNV prime). */
    private static final long PRIME = 0x100000001b3L;

    private StableHash() {}

    /**
     * Adds a value to a hash.
     *
     * @return The new hash.
     */
    public static long update(long before, int value) {
        return (before ^ value) * PRIME;
    }

    /**
     * Adds the characters of a text to a hash.
     *
     * @return The new hash.
     */
    public static long update(long before, String text) {
        long hash = before;
        for (int index = 0; index < text.length(); index++) {
            hash = update(hash, text.charAt(index));
        }
        return hash;
    }

    /**
     * Adds bytes to a hash by their two checksums, which take much less time than the hash of each byte.
     *
     * @return The new hash.
     */
    public static long update(long before, byte[] bytes) {
        CRC32 first = new CRC32();
        first.update(bytes);
        CRC32C second = new CRC32C();
        second.update(bytes);
        return (before ^ (first.getValue() << Integer.SIZE | second.getValue())) * PRIME;
    }
}
