package org.cranberrygauge.emulator.engine;

import java.nio.charset.StandardCharsets;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * The text of each output token, a pure function of the prompt and the position, so that a client can check a complete
 * answer.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class TokenText {

    /** The number of digits of the prompt's digest in each token. */
    private static final int DIGITS = 6;

    private TokenText() {}

    /** Returns the short digest of a prompt. */
    public static String digest(String prompt) {
        return KeyDigest.digest(prompt.getBytes(StandardCharsets.UTF_8)).substring(0, DIGITS);
    }

    /**
     * Returns the text of a token.
     *
     * @param promptDigest The short digest of the prompt.
     * @param position The position from 0.
     */
    public static String token(String promptDigest, int position) {
        return promptDigest + "." + position + " ";
    }

    /**
     * Returns the text of a complete answer.
     *
     * @param promptDigest The short digest of the prompt.
     * @param count The number of tokens.
     */
    public static String answer(String promptDigest, int count) {
        StringBuilder text = new StringBuilder();
        for (int position = 0; position < count; position++) {
            text.append(token(promptDigest, position));
        }
        return text.toString();
    }

    /** Returns the number of tokens of a prompt, which is its number of words. */
    public static int count(String prompt) {
        return prompt.isBlank() ? 0 : prompt.trim().split("\\s+").length;
    }
}
