package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against windows that are reported twice since a new process does not know what the log has lost. */
class LostDecisionsTest {

    @Test
    void nothingIsLostAtTheFirstStartOfTheSystem() {
        LostDecisions lost = new LostDecisions(true, 5_000, 2_600);
        lost.recordRead(100_000, true);
        lost.recordRead(200_000, false);
        assertThat(lost.mayHaveBeenReported(0)).isFalse();
    }

    @Test
    void aLogThatHoldsFiguresShowsThatTheSystemDoesNotStartForTheFirstTime() {
        LostDecisions lost = new LostDecisions(true, 5_000, 2_600);
        lost.recordRead(100_000, false);
        assertThat(lost.mayHaveBeenReported(18)).isTrue();
    }

    @Test
    void aNewProcessPresumesTheWindowsReportedThatWereDueBeforeItsFirstRead() {
        LostDecisions lost = new LostDecisions(false, 5_000, 2_600);
        lost.recordRead(100_000, true);
        lost.recordRead(200_000, false);
        assertThat(lost.mayHaveBeenReported(18)).isTrue();
        assertThat(lost.mayHaveBeenReported(19)).isFalse();
    }

    @Test
    void figuresOfTheCurrentEraShowThatNoLaterOnesAreLost() {
        LostDecisions lost = new LostDecisions(false, 5_000, 2_600);
        lost.recordStored(15);
        lost.recordRead(100_000, false);
        assertThat(lost.mayHaveBeenReported(15)).isTrue();
        assertThat(lost.mayHaveBeenReported(16)).isFalse();
    }

    @Test
    void aProcessThatSawTheLogComeBackKnowsWhenThatWas() {
        LostDecisions lost = new LostDecisions(true, 5_000, 2_600);
        lost.recordRead(10_000, true);
        lost.recordRollback(50_000);
        lost.recordRead(100_000, false);
        assertThat(lost.mayHaveBeenReported(8)).isTrue();
        assertThat(lost.mayHaveBeenReported(9)).isFalse();
    }
}
