package org.cranberrygauge.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DrainWaitTest {

    private final DrainWait wait = new DrainWait(1_000, 8_000);

    @Test
    void staysUntilTheLoadBalancerHasNoticed() {
        assertThat(wait.isOver(4_199, 0)).isFalse();
        assertThat(wait.isOver(4_200, 0)).isTrue();
    }

    @Test
    void staysWhileRequestsAreInProgressAndShortlyAfter() {
        assertThat(wait.isOver(5_000, 1)).isFalse();
        assertThat(wait.isOver(5_299, 0)).isFalse();
        assertThat(wait.isOver(5_300, 0)).isTrue();
    }

    @Test
    void endsWithinTheGracePeriod() {
        assertThat(wait.isOver(8_199, 3)).isFalse();
        assertThat(wait.isOver(8_200, 3)).isTrue();
    }
}
