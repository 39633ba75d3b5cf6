package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class EngineDemandTest {

    private static final EngineProfile PROFILE = new EngineProfile(60, 50, 2_000);

    private static final int SLOTS = 32;

    private final EngineDemand demand = new EngineDemand();

    @Test
    void addsTheEnginesForHeldTokensAndThoseForShortRequests() {
        demand.update(PROFILE, 4 * PROFILE.sustainableTokens(), 32, SLOTS);
        assertThat(demand.engines()).isCloseTo(6, within(0.01));
    }

    @Test
    void risesWithinSecondsAndFallsSlowly() {
        update(1, 4);
        update(10, 12);
        assertThat(demand.engines()).isGreaterThan(11);
        update(10, 4);
        assertThat(demand.engines()).isGreaterThan(8);
    }

    @Test
    void fasterEnginesAreNeededInSmallerNumber() {
        demand.update(new EngineProfile(60, 100, 2_000), 4 * PROFILE.sustainableTokens(), 0, SLOTS);
        assertThat(demand.engines()).isCloseTo(2, within(0.01));
    }

    private void update(int times, double engines) {
        for (int count = 0; count < times; count++) {
            demand.update(PROFILE, engines * PROFILE.sustainableTokens(), 0, SLOTS);
        }
    }
}
