package org.cranberrygauge.model.customer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 digest of a caller's key. The key itself is never stored.
 *
 * @param hexadecimal The digest in lower-case hexadecimal digits.
 */
public record KeyDigest(String hexadecimal) {

    private static final String ALGORITHM = "SHA-256";

    /** Computes the digest of a key. */
    public static KeyDigest of(String key) {
        return new KeyDigest(digest(key.getBytes(StandardCharsets.UTF_8)));
    }

    /**
     * Computes the SHA-256 digest of bytes.
     *
     * @return The digest in lower-case hexadecimal digits.
     */
    public static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance(ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, exception);
        }
    }
}
