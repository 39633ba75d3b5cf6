package org.cranberrygauge.model.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 of a caller's key; the key itself is never kept.
 *
 * @param hexadecimal The digest in lower-case hexadecimal digits.
 */
public record KeyDigest(String hexadecimal) {

    /** The name of the digest algorithm. */
    private static final String ALGORITHM = "SHA-256";

    /**
     * Computes the digest of a key.
     *
     * @param key The key.
     * @return The digest.
     */
    public static KeyDigest of(String key) {
        return new KeyDigest(digest(key.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Computes the hexadecimal digest of bytes.
     *
     * @param bytes The bytes.
     * @return The digest in hexadecimal digits.
     */
    public static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance(ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, exception);
        }
    }
}
