package org.cranberrygauge.decision.estimate;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class OutputEstimateTest {

    @Test
    void it_learns_the_length_of_a_customers_answers() {
        OutputEstimate estimate = learnt();
        assertThat(estimate.remainingTokens("brief", "chat", 0, 2_048)).isBetween(18, 26);
        assertThat(estimate.remainingTokens("wordy", "chat", 0, 2_048)).isBetween(450, 600);
    }

    @Test
    void it_corrects_itself_while_an_answer_grows_beyond_it() {
        assertThat(learnt().remainingTokens("brief", "chat", 100, 2_048)).isPositive();
        assertThat(learnt().remainingTokens("unknown", "chat", 100, 2_048)).isBetween(350, 500);
    }

    @Test
    void disabled_it_takes_each_answer_for_as_long_as_allowed() {
        OutputEstimate estimate = OutputEstimate.Disabled.INSTANCE;
        estimate.observe("brief", "chat", 20);
        assertThat(estimate.remainingTokens("brief", "chat", 0, 2_048)).isEqualTo(2_048);
    }

    private static OutputEstimate learnt() {
        OutputEstimate estimate = new OutputEstimate.Quantile(0.5);
        for (int count = 0; count < 50; count++) {
            estimate.observe("brief", "chat", 20);
            estimate.observe("wordy", "chat", 500);
        }
        return estimate;
    }
}
