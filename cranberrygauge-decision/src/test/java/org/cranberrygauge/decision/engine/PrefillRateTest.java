package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class PrefillRateTest {

    private final PrefillRate rate = new PrefillRate();

    @Test
    void followsTheTokensThatAreSent() {
        for (long now = 0; now < 10_000; now += 10) {
            rate.record(now, 500);
        }
        assertThat(rate.tokensPerMilli(10_000)).isCloseTo(50, Percentage.withPercentage(3));
    }

    @Test
    void fallsOnceNothingIsSent() {
        rate.record(0, 100_000);
        assertThat(rate.tokensPerMilli(20_000)).isLessThan(0.01);
    }
}
