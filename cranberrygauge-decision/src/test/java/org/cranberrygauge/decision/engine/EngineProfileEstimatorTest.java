package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;

class EngineProfileEstimatorTest {

    private final EngineProfileEstimator estimator = new EngineProfileEstimator();

    private final SplittableRandom random = new SplittableRandom(1);

    @Test
    void startsWithTheInitialProfile() {
        assertThat(estimator.profile()).isEqualTo(EngineProfile.INITIAL);
    }

    @Test
    void aFewDozenRequestsOutweighTheInitialSpeed() {
        observe(60, 120, 20);
        assertThat(estimator.profile().tokensPerMilli()).isCloseTo(120, Percentage.withPercentage(40));
        observe(200, 120, 20);
        assertThat(estimator.profile().tokensPerMilli()).isCloseTo(120, Percentage.withPercentage(10));
        assertThat(estimator.profile().overheadMillis()).isCloseTo(20, within(10.0));
    }

    @Test
    void followsEnginesThatBecomeSlower() {
        observe(300, 100, 20);
        observe(150, 20, 20);
        assertThat(estimator.profile().tokensPerMilli()).isBetween(15.0, 35.0);
    }

    @Test
    void aRequestThatHangsChangesLittle() {
        observe(300, 100, 20);
        double before = estimator.profile().firstEventMillis(10_000);
        estimator.recordFirstEvent(10_000, 60_000);
        assertThat(estimator.profile().firstEventMillis(10_000)).isLessThan(before * 1.2);
    }

    @Test
    void requestsOfOneLengthNeverLeadToAnImpossibleSpeed() {
        for (int request = 0; request < 1_000; request++) {
            estimator.recordFirstEvent(500, request % 2 == 0 ? 0 : 100);
        }
        assertThat(estimator.profile().tokensPerMilli()).isPositive().isFinite();
        assertThat(estimator.profile().overheadMillis()).isNotNegative();
    }

    @Test
    void fasterEnginesAndShorterAnswersChangeWhatOneEngineSustains() {
        observe(300, 100, 20);
        double before = estimator.profile().sustainableTokens();
        for (int request = 0; request < 300; request++) {
            estimator.recordEnd(5_000, 500);
        }
        assertThat(estimator.profile().residenceMillis()).isCloseTo(500, within(100.0));
        assertThat(estimator.profile().sustainableTokens()).isLessThan(before / 2);
    }

    private void observe(int requests, double tokensPerMilli, double overheadMillis) {
        for (int request = 0; request < requests; request++) {
            double tokens = 200 + random.nextDouble() * 15_000;
            double noise = 0.9 + 0.2 * random.nextDouble();
            estimator.recordFirstEvent(tokens, (overheadMillis + tokens / tokensPerMilli) * noise);
        }
    }
}
