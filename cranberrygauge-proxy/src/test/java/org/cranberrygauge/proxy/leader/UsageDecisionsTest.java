package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.proxy.leader.UsageDecisions.Status;
import org.junit.jupiter.api.Test;

/** Guards against windows that are reported twice since a process does not know what the log has lost or forgotten. */
class UsageDecisionsTest {

    private static final long ERA = 3;

    private final UsageDecisions decisions = new UsageDecisions(5_000, 2_600);

    /** Guards against a log that came back from a copy without any figures, which looks like that of a new system. */
    @Test
    void aLogWithoutFiguresDoesNotShowThatNoWindowWasReported() {
        decisions.recordRead(100_000, ERA, List.of());
        assertThat(decisions.status(18)).isEqualTo(Status.LOST);
    }

    @Test
    void theWindowInWhichTheSystemStartsForTheFirstTimeIsReported() {
        decisions.recordRead(100_001, ERA, List.of());
        assertThat(decisions.status(20)).isEqualTo(Status.UNDECIDED);
    }

    @Test
    void nothingIsKnownBeforeTheFirstRead() {
        assertThat(decisions.isInitialized()).isFalse();
        decisions.recordRead(100_000, ERA, List.of());
        assertThat(decisions.isInitialized()).isTrue();
    }

    @Test
    void aNewProcessPresumesTheWindowsReportedThatEndedBeforeItsFirstRead() {
        decisions.recordRead(100_000, ERA, List.of());
        decisions.recordRead(200_000, ERA, List.of());
        assertThat(decisions.status(19)).isEqualTo(Status.LOST);
        assertThat(decisions.status(20)).isEqualTo(Status.UNDECIDED);
    }

    @Test
    void figuresOfTheCurrentEraShowThatNoLaterOnesAreLost() {
        decisions.recordRead(100_000, ERA, List.of(decision(15, ERA)));
        assertThat(decisions.status(15)).isEqualTo(Status.DECIDED);
        assertThat(decisions.status(16)).isEqualTo(Status.UNDECIDED);
    }

    @Test
    void figuresOfAnEarlierEraDoNotShowThatNoLaterOnesAreLost() {
        decisions.recordRead(100_000, ERA, List.of(decision(15, ERA - 1)));
        assertThat(decisions.status(16)).isEqualTo(Status.LOST);
    }

    @Test
    void aProcessThatSawTheLogComeBackKnowsWhenThatWas() {
        decisions.recordRead(10_000, ERA - 1, List.of());
        decisions.recordRollback(50_000);
        decisions.recordRead(100_000, ERA, List.of());
        assertThat(decisions.status(8)).isEqualTo(Status.LOST);
        assertThat(decisions.status(9)).isEqualTo(Status.UNDECIDED);
    }

    /** Guards against windows that are given up by a host that learns late that the log came back. */
    @Test
    void aDecisionSinceTheLogCameBackShowsThatNoLaterOneIsLost() {
        decisions.recordRead(10_000, ERA - 1, List.of());
        decisions.recordRollback(90_000);
        decisions.recordRead(100_000, ERA, List.of(decision(9, ERA)));
        assertThat(decisions.status(8)).isEqualTo(Status.FORGOTTEN);
        assertThat(decisions.status(10)).isEqualTo(Status.UNDECIDED);
    }

    /** Guards against a window that is decided anew once its figures are no longer retained. */
    @Test
    void aWindowBeforeTheNewestDecidedOneMayHaveBeenReported() {
        decisions.recordRead(100_000, ERA, List.of(decision(15, ERA), decision(18, ERA)));
        assertThat(decisions.status(15)).isEqualTo(Status.DECIDED);
        assertThat(decisions.status(17)).isEqualTo(Status.FORGOTTEN);
        assertThat(decisions.status(14)).isEqualTo(Status.FORGOTTEN);
        assertThat(decisions.status(19)).isEqualTo(Status.UNDECIDED);
    }

    @Test
    void theNewestWindowsAreRetained() {
        List<UsageDecision> held = new ArrayList<>();
        for (long window = 100; window <= 100 + UsageDecisions.RETAINED_WINDOWS; window++) {
            held.add(decision(window, ERA));
        }
        decisions.recordRead(1_000_000, ERA, held);
        assertThat(decisions.status(100)).isEqualTo(Status.FORGOTTEN);
        assertThat(decisions.firstWindow()).isEqualTo(101);
        assertThat(decisions.newestWindow()).isEqualTo(100 + UsageDecisions.RETAINED_WINDOWS);
    }

    @Test
    void theFirstKnownFiguresAreFinal() {
        decisions.recordStored(ERA, new UsageDecision(7, Map.of("a", 1L), ERA));
        decisions.recordRead(100_000, ERA, List.of(new UsageDecision(7, Map.of("a", 2L), ERA)));
        assertThat(decisions.decision(7).orElseThrow().byCustomer()).isEqualTo(Map.of("a", 1L));
        assertThat(decisions.decision(8)).isEmpty();
    }

    /** Guards against later decisions that seem never to have been made while earlier ones are restored. */
    @Test
    void lostDecisionsAreRestoredNewestFirst() {
        decisions.recordRead(100_000, ERA - 1, List.of(decision(14, 2), decision(15, 2), decision(16, 2)));
        decisions.recordRollback(100_000);
        decisions.recordRead(100_000, ERA, List.of(decision(14, 2)));
        assertThat(decisions.newestLost()).contains(decision(16, 2));
        decisions.recordStored(ERA, decision(16, 2));
        assertThat(decisions.newestLost()).contains(decision(15, 2));
        decisions.recordStored(ERA, decision(15, 2));
        assertThat(decisions.newestLost()).isEmpty();
    }

    /** Guards against a restored decision that is taken for one made since the log came back. */
    @Test
    void aRestoredDecisionDoesNotShowThatNoLaterOneIsLost() {
        decisions.recordRead(100_000, ERA - 1, List.of(decision(17, ERA - 1)));
        decisions.recordRollback(105_000);
        decisions.recordRead(105_000, ERA, List.of());
        decisions.recordStored(ERA, decision(17, ERA - 1));
        assertThat(decisions.status(18)).isEqualTo(Status.LOST);
    }

    private static UsageDecision decision(long window, long era) {
        return new UsageDecision(window, Map.of("a", window), era);
    }
}
