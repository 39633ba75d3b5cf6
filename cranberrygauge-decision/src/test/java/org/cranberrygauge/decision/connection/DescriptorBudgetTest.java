package org.cranberrygauge.decision.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DescriptorBudgetTest {

    /** The descriptors that the platform reserves for files. */
    private static final int FILES = 200;

    @ParameterizedTest
    @ValueSource(longs = {1_024, 2_212, 6_150, 20_000, 1_048_576, Integer.MAX_VALUE, Long.MAX_VALUE})
    void descriptorsAreLeftWhenAllConnectionsAndRequestsAreUsedUp(long maximum) {
        DescriptorBudget budget = DescriptorBudget.of(maximum);
        long accepted = hardMaximum(budget.callerConnections()) + hardMaximum(budget.hostConnections());
        assertThat(accepted + budget.requests() + FILES).isLessThan(maximum);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 300, 400})
    void aProcessWithVeryFewDescriptorsStillServes(long maximum) {
        DescriptorBudget budget = DescriptorBudget.of(maximum);
        assertThat(budget.callerConnections()).isPositive();
        assertThat(budget.hostConnections()).isPositive();
        assertThat(budget.requests()).isPositive();
    }

    private static long hardMaximum(int maximum) {
        return new ConnectionLimits(1, 1, maximum).hardMaximum();
    }
}
