package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Many requests with short prompts and few tokens of output arrive beside chats. The prefill work of the engines for
 * short prompts is compared with that of a fixed division of the engines.
 */
class ManyShortPromptsPatternTest {

    private static final double FIXED_FRACTION = 0.15;

    @Test
    void enginesWithChatsDoLessPrefillThanTheOthers() {
        PrefillMix mix = new PrefillMix();
        double shortTokens = 0;
        double longTokens = 0;
        for (int request = 0; request < 3_000; request++) {
            boolean isLong = request % 4 == 0;
            double tokens = isLong ? 9_000 : 2_000;
            mix.record(!isLong, tokens);
            shortTokens += isLong ? 0 : tokens;
            longTokens += isLong ? tokens : 0;
        }
        assertThat(prefillRatio(shortTokens, longTokens, mix.tokens().shortEngineFraction()))
                .isBetween(0.4, 0.6);
        assertThat(prefillRatio(shortTokens, longTokens, FIXED_FRACTION)).isGreaterThan(3);
    }

    /** Returns the prefill of an engine for short prompts as a fraction of that of an engine for long ones. */
    private static double prefillRatio(double shortTokens, double longTokens, double shortFraction) {
        return shortTokens / shortFraction / (longTokens / (1 - shortFraction));
    }
}
