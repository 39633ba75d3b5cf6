package org.cranberrygauge.decision.estimate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OutputEstimateTest {

    @Test
    void the_output_length_of_a_customer_is_learned() {
        OutputEstimate estimate = trainedEstimate();
        assertThat(estimate.remainingTokens("brief", "chat", 0, 2_048)).isBetween(18, 26);
        assertThat(estimate.remainingTokens("wordy", "chat", 0, 2_048)).isBetween(450, 600);
    }

    @Test
    void the_estimate_is_raised_when_an_output_exceeds_it() {
        assertThat(trainedEstimate().remainingTokens("brief", "chat", 100, 2_048))
                .isPositive();
        assertThat(trainedEstimate().remainingTokens("unknown", "chat", 100, 2_048))
                .isBetween(350, 500);
    }

    @Test
    void when_disabled_each_output_is_assumed_to_be_as_long_as_allowed() {
        OutputEstimate estimate = OutputEstimate.Disabled.INSTANCE;
        estimate.observe("brief", "chat", 20);
        assertThat(estimate.remainingTokens("brief", "chat", 0, 2_048)).isEqualTo(2_048);
    }

    private static OutputEstimate trainedEstimate() {
        OutputEstimate estimate = new OutputEstimate.Quantile(0.5);
        for (int count = 0; count < 50; count++) {
            estimate.observe("brief", "chat", 20);
            estimate.observe("wordy", "chat", 500);
        }
        return estimate;
    }
}
