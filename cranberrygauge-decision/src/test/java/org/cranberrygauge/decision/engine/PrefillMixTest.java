package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class PrefillMixTest {

    private final PrefillMix mix = new PrefillMix();

    @Test
    void fewEnginesServeShortPromptsWhereLongOnesCauseMostOfThePrefill() {
        record(1_000, 10_000);
        assertThat(mix.tokens().shortEngineFraction()).isCloseTo(0.17, within(0.02));
    }

    @Test
    void manyShortPromptsGetMoreEngines() {
        record(2_000, 6_000);
        assertThat(mix.tokens().shortEngineFraction()).isCloseTo(0.4, within(0.02));
    }

    @Test
    void aBurstOfLongPromptsLeavesTheChatsTheirEngines() {
        record(100, 50_000);
        assertThat(mix.tokens().shortEngineFraction()).isEqualTo(0.15);
    }

    @Test
    void followsASwingFromLongToShortPrompts() {
        record(1_000, 20_000);
        record(4_000, 4_000);
        assertThat(mix.tokens().shortEngineFraction()).isGreaterThan(0.55);
    }

    private void record(double shortTokens, double longTokens) {
        for (int request = 0; request < 400; request++) {
            mix.record(true, shortTokens);
            mix.record(false, longTokens);
        }
    }
}
