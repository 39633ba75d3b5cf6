package org.cranberrygauge.operator.questionnaire;

import java.security.SecureRandom;
import java.util.HexFormat;

/** Source of new customer keys. */
public interface KeySource {

    String next();

    /**
     * Generates random keys that can't be guessed.
     *
     * <p>Safe for use by several threads.
     */
    final class Secure implements KeySource {

        /** Prefix of every key, so that a leaked key can be recognised. */
        private static final String PREFIX = "cg-";

        private static final int RANDOM_BYTES = 24;

        private final SecureRandom random = new SecureRandom();

        @Override
        public String next() {
            byte[] bytes = new byte[RANDOM_BYTES];
            random.nextBytes(bytes);
            return PREFIX + HexFormat.of().formatHex(bytes);
        }
    }
}
