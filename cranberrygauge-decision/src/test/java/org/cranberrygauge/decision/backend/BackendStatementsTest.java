package org.cranberrygauge.decision.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.cranberrygauge.decision.backend.Availability.Kind;
import org.cranberrygauge.decision.backend.BackendNotice.LeavingStated;
import org.cranberrygauge.decision.backend.BackendNotice.LimitChanged;
import org.cranberrygauge.decision.backend.BackendNotice.PauseStated;
import org.cranberrygauge.decision.backend.BackendNotice.StatementMalformed;
import org.cranberrygauge.decision.backend.BackendStatements.Limit;
import org.cranberrygauge.decision.backend.BackendStatements.Shared;
import org.cranberrygauge.decision.backend.RateStatement.Standard;
import org.junit.jupiter.api.Test;

class BackendStatementsTest {

    private static final String SERVER = "a/1";

    private final BackendStatements statements = new BackendStatements();

    @Test
    void aLimitHoldsUntilAResponseStatesAnotherOrNone() {
        assertThat(statements.observe(100, SERVER, limited(2))).containsExactly(new LimitChanged(OptionalDouble.of(2)));
        assertThat(statements.observe(200, SERVER, limited(2))).isEmpty();
        assertThat(statements.limit(SERVER)).hasValue(2);
        assertThat(statements.availability(200, SERVER)).isEqualTo(new Availability(Kind.NEEDS_PERMIT, 200));
        assertThat(statements.observe(300, SERVER, BackendStatement.NONE))
                .containsExactly(new LimitChanged(OptionalDouble.empty()));
        assertThat(statements.limit(SERVER)).isEmpty();
        assertThat(statements.availability(300, SERVER).isOpen()).isTrue();
    }

    @Test
    void anUnreadableStatementChangesNothingAndIsToldOnce() {
        BackendStatement malformed =
                new BackendStatement(Standard.UNREADABLE, false, java.util.OptionalLong.empty(), true);
        statements.observe(100, SERVER, limited(2));
        assertThat(statements.observe(200, SERVER, malformed)).containsExactly(new StatementMalformed());
        assertThat(statements.observe(300, SERVER, malformed)).isEmpty();
        assertThat(statements.limit(SERVER)).hasValue(2);
    }

    @Test
    void anotherIncarnationOfAServerIsNotConcerned() {
        statements.observe(100, SERVER, limited(2).withLeaving());
        assertThat(statements.limit("a/2")).isEmpty();
        assertThat(statements.availability(100, "a/2").isOpen()).isTrue();
    }

    @Test
    void ofTwoLimitsTheOneThatWasStatedLaterHolds() {
        statements.observe(200, SERVER, limited(2));
        assertThat(statements.merge(250, SERVER, shared(5, 100))).isEmpty();
        assertThat(statements.limit(SERVER)).hasValue(2);
        assertThat(statements.merge(350, SERVER, shared(1, 300))).hasSize(1);
        assertThat(statements.limit(SERVER)).hasValue(1);
    }

    @Test
    void theEndOfALimitReplacesOlderStatementsOfOtherHostsForATime() {
        statements.observe(100, SERVER, limited(2));
        statements.observe(200, SERVER, BackendStatement.NONE);
        assertThat(statements.shared(5_000, Set.of(SERVER))).containsKey(SERVER);
        statements.merge(5_000, SERVER, shared(2, 150));
        assertThat(statements.limit(SERVER)).isEmpty();
        assertThat(statements.shared(20_000, Set.of(SERVER))).isEmpty();
    }

    @Test
    void aServerThatStatedThatItLeavesNeverComesBack() {
        assertThat(statements.observe(100, SERVER, BackendStatement.NONE.withLeaving()))
                .containsExactly(new LeavingStated());
        assertThat(statements.observe(200, SERVER, BackendStatement.NONE)).isEmpty();
        assertThat(statements.isLeaving(SERVER)).isTrue();
        assertThat(statements.availability(60_000, SERVER).isEverOpen()).isFalse();
    }

    @Test
    void otherHostsLearnThatAServerLeavesButNotOfAPause() {
        statements.observe(100, SERVER, BackendStatement.NONE.withLeaving());
        statements.observe(100, "b/1", BackendStatement.NONE.withPause(5_000));
        Shared told = statements.shared(200, Set.of(SERVER, "b/1")).get(SERVER);
        assertThat(statements.shared(200, Set.of(SERVER, "b/1"))).containsOnlyKeys(SERVER);
        BackendStatements other = new BackendStatements();
        assertThat(other.merge(900, SERVER, told)).containsExactly(new LeavingStated());
        assertThat(other.isLeaving(SERVER)).isTrue();
    }

    @Test
    void whatIsKnownSurvivesAShortLossOfTheEntry() {
        statements.observe(100, SERVER, BackendStatement.NONE.withLeaving());
        statements.shared(50_000, Set.of());
        assertThat(statements.isLeaving(SERVER)).isTrue();
        statements.shared(70_000, Set.of());
        assertThat(statements.isLeaving(SERVER)).isFalse();
    }

    @Test
    void hostsDoNotRemindEachOtherOfServersThatAreGone() {
        BackendStatements other = new BackendStatements();
        statements.observe(0, SERVER, BackendStatement.NONE.withLeaving());
        long toldLaterMillis = 1_500;
        statements.shared(1_000, Set.of(SERVER)).forEach((server, told) -> other.merge(toldLaterMillis, server, told));
        assertThat(other.isLeaving(SERVER)).isTrue();
        for (long now = 1_200; now < 200_000; now += 200) {
            long receivedMillis = now + 100;
            statements.shared(now, Set.of()).forEach((server, told) -> other.merge(receivedMillis, server, told));
            other.shared(receivedMillis, Set.of())
                    .forEach((server, told) -> statements.merge(receivedMillis, server, told));
        }
        assertThat(statements.isLeaving(SERVER)).isFalse();
        assertThat(other.isLeaving(SERVER)).isFalse();
    }

    @Test
    void aPauseIsNeverShortened() {
        assertThat(statements.observe(1_000, SERVER, BackendStatement.NONE.withPause(5_000)))
                .containsExactly(new PauseStated(6_000));
        statements.observe(1_500, SERVER, BackendStatement.NONE.withPause(100));
        assertThat(statements.availability(5_999, SERVER)).isEqualTo(new Availability(Kind.PAUSED, 6_000));
        assertThat(statements.availability(6_000, SERVER).isOpen()).isTrue();
    }

    @Test
    void anEnormousPauseIsBounded() {
        statements.observe(0, SERVER, BackendStatement.NONE.withPause(Long.MAX_VALUE));
        assertThat(statements.availability(0, SERVER).fromMillis()).isEqualTo(3_600_000);
    }

    @Test
    void requestsReturnGraduallyAfterAPause() {
        statements.observe(0, SERVER, BackendStatement.NONE.withPause(1_000));
        int sentInFirstSteps = 0;
        for (long now = 1_000; now < 1_600; now += 10) {
            if (statements.availability(now, SERVER).isOpen()) {
                statements.recordSent(SERVER);
                sentInFirstSteps++;
            }
        }
        assertThat(sentInFirstSteps).isEqualTo(4);
        for (int request = 0; request < 100; request++) {
            statements.recordSent(SERVER);
        }
        assertThat(statements.availability(1_990, SERVER).isOpen()).isFalse();
        assertThat(statements.availability(2_000, SERVER).isOpen()).isTrue();
    }

    private static BackendStatement limited(double perSecond) {
        return BackendStatement.NONE.withRate(RateStatement.limited(perSecond));
    }

    private static Shared shared(double perSecond, long statedMillis) {
        return new Shared(Optional.of(new Limit(OptionalDouble.of(perSecond), statedMillis)), false);
    }
}
