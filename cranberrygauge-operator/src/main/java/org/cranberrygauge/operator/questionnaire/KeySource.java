package org.cranberrygauge.operator.questionnaire;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Makes new keys. */
public interface KeySource {

    /**
     * Makes a key.
     *
     * @return The key.
     */
    String next();

    /**
     * Makes keys that nobody can guess.
     *
     * <p>Safe for use by several threads.
     */
    final class Secure implements KeySource {

        /** The start of each key, by which it is recognised where it should not stand. */
        private static final String PREFIX = "cg-";

        /** The number of random bytes. */
        private static final int BYTES = 24;

        /** The source of randomness. */
        private final SecureRandom random = new SecureRandom();

        @Override
        public String next() {
            byte[] bytes = new byte[BYTES];
            random.nextBytes(bytes);
            return PREFIX + HexFormat.of().formatHex(bytes);
        }
    }
}
