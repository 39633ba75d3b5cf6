package org.cranberrygauge.decision.stop;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping host begins and cuts off (LOST). */
class PlannedStopTest {

    private final PlannedStop stop = new PlannedStop(2_800, 7_200);

    @Test
    void everythingBeginsWithoutAStopSignal() {
        assertThat(PlannedStop.NONE.isSignalled()).isFalse();
        assertThat(PlannedStop.NONE.mayBegin(1_000_000, Long.MAX_VALUE)).isTrue();
    }

    @Test
    void everythingBeginsUntilCallersAreSentElsewhere() {
        assertThat(stop.isSignalled()).isTrue();
        assertThat(stop.mayBegin(2_800, 60_000)).isTrue();
    }

    @Test
    void onlyWhatEndsBeforeTheHostDoesBeginsLater() {
        assertThat(stop.mayBegin(2_801, 7_200)).isTrue();
        assertThat(stop.mayBegin(2_801, 7_201)).isFalse();
    }

    @Test
    void nothingBeginsOnceTheStopIsOver() {
        assertThat(PlannedStop.OVER.mayBegin(0, 0)).isFalse();
    }
}
