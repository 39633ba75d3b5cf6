package org.cranberrygauge.emulator.engine;

import java.nio.charset.StandardCharsets;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * The text of each token, a pure function of the prompt and the position, so that a reader can check a whole answer.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class TokenText {

    /** The number of digits of the digest that stand in each token. */
    private static final int DIGITS = 6;

    /** Prevents instances. */
    private TokenText() {}

    /**
     * Returns the digest of a prompt.
     *
     * @param prompt The prompt.
     * @return The short digest.
     */
    public static String digest(String prompt) {
        return KeyDigest.digest(prompt.getBytes(StandardCharsets.UTF_8)).substring(0, DIGITS);
    }

    /**
     * Returns the text of a token.
     *
     * @param promptDigest The short digest of the prompt.
     * @param position The position from 0.
     * @return The text.
     */
    public static String token(String promptDigest, int position) {
        return promptDigest + "." + position + " ";
    }

    /**
     * Returns the text of a whole answer.
     *
     * @param promptDigest The short digest of the prompt.
     * @param count The number of tokens.
     * @return The text.
     */
    public static String answer(String promptDigest, int count) {
        StringBuilder text = new StringBuilder();
        for (int position = 0; position < count; position++) {
            text.append(token(promptDigest, position));
        }
        return text.toString();
    }

    /**
     * Counts the tokens of a prompt.
     *
     * @param prompt The prompt.
     * @return The number of words.
     */
    public static int count(String prompt) {
        return prompt.isBlank() ? 0 : prompt.trim().split("\\s+").length;
    }
}
