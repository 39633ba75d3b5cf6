package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.junit.jupiter.api.Test;

/** Guards against return times that are predicted from nothing, or from servers that are gone. */
class PoolReturnsTest {

    private final PoolReturns returns = new PoolReturns(new SplittableRandom(2));

    @Test
    void theConstantsApplyWithoutObservationsAndWhileNothingWaits() {
        assertThat(returns.retryAfterMillis(0, RejectReason.BACKENDS_FULL, 20, 20, 1, 6_000))
                .hasValue(800);
        startsEvery10Millis();
        assertThat(returns.retryAfterMillis(1_000, RejectReason.BACKENDS_FULL, 0, 0, 1, 6_000))
                .hasValue(800);
        assertThat(returns.retryAfterMillis(1_000, RejectReason.DRAINING, 20, 20, 1, 6_000))
                .hasValue(50);
    }

    @Test
    void aCallerReturnsWhenTheWaitingRequestsHaveStarted() {
        startsEvery10Millis();
        assertThat(returns.retryAfterMillis(1_000, RejectReason.BACKENDS_FULL, 20, 20, 1, 6_000)
                        .orElseThrow())
                .isBetween(180L, 280L);
        assertThat(returns.retryAfterMillis(1_000, RejectReason.BACKENDS_LIMITED, 150, 150, 1, 6_000)
                        .orElseThrow())
                .isBetween(1_400L, 2_000L);
    }

    @Test
    void withoutAServerACallerWaitsAtLeastAsLongAsTheConstant() {
        startsEvery10Millis();
        assertThat(returns.retryAfterMillis(1_000, RejectReason.NO_BACKEND, 20, 20, 1, 6_000))
                .hasValue(500);
    }

    private void startsEvery10Millis() {
        returns.observe(0, true);
        for (long now = 10; now <= 1_000; now += 10) {
            returns.recordStart(now, 1);
        }
    }
}
