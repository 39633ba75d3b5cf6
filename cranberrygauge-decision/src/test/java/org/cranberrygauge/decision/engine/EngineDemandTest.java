package org.cranberrygauge.decision.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class EngineDemandTest {

    private static final int SLOTS = 32;

    private final EngineDemand demand = new EngineDemand();

    @Test
    void addsTheEnginesForPromptsAndThoseForShortRequests() {
        demand.update(4, 32, SLOTS);
        assertThat(demand.engines()).isCloseTo(6, within(0.01));
    }

    @Test
    void risesWithinSecondsAndFallsSlowly() {
        demand.update(4, 0, SLOTS);
        update(10, 12);
        assertThat(demand.engines()).isGreaterThan(11);
        update(10, 4);
        assertThat(demand.engines()).isGreaterThan(8);
    }

    private void update(int times, double prefillEngines) {
        for (int count = 0; count < times; count++) {
            demand.update(prefillEngines, 0, SLOTS);
        }
    }
}
