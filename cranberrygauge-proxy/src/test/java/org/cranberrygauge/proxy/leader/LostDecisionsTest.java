package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against windows that are reported twice since a new process does not know what the log has lost. */
class LostDecisionsTest {

    /** Guards against a log that came back from a copy without any figures, which looks like that of a new system. */
    @Test
    void aLogWithoutFiguresDoesNotShowThatNoWindowWasReported() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        lost.recordRead(100_000);
        assertThat(lost.mayHaveBeenReported(18)).isTrue();
    }

    @Test
    void theWindowInWhichTheSystemStartsForTheFirstTimeIsReported() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        lost.recordRead(100_001);
        assertThat(lost.mayHaveBeenReported(20)).isFalse();
    }

    @Test
    void nothingIsKnownBeforeTheFirstRead() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        assertThat(lost.isKnown()).isFalse();
        lost.recordRead(100_000);
        assertThat(lost.isKnown()).isTrue();
    }

    @Test
    void aNewProcessPresumesTheWindowsReportedThatEndedBeforeItsFirstRead() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        lost.recordRead(100_000);
        lost.recordRead(200_000);
        assertThat(lost.mayHaveBeenReported(19)).isTrue();
        assertThat(lost.mayHaveBeenReported(20)).isFalse();
    }

    @Test
    void figuresOfTheCurrentEraShowThatNoLaterOnesAreLost() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        lost.recordStored(15);
        lost.recordRead(100_000);
        assertThat(lost.mayHaveBeenReported(15)).isTrue();
        assertThat(lost.mayHaveBeenReported(16)).isFalse();
    }

    @Test
    void aProcessThatSawTheLogComeBackKnowsWhenThatWas() {
        LostDecisions lost = new LostDecisions(5_000, 2_600);
        lost.recordRead(10_000);
        lost.recordRollback(50_000);
        lost.recordRead(100_000);
        assertThat(lost.mayHaveBeenReported(8)).isTrue();
        assertThat(lost.mayHaveBeenReported(9)).isFalse();
    }
}
