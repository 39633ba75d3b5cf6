package org.cranberrygauge.decision.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConnectionTableTest {

    private static final ConnectionLimits LIMITS = new ConnectionLimits(4_000, 2_000, 100);

    private final ConnectionTable<String> table = new ConnectionTable<>();

    @Test
    void aConnectionWithoutAnyRequestIsOverdueAfterTheIdleTimeout() {
        table.open("a", 0);
        assertThat(table.overdue(3_999, LIMITS)).isEmpty();
        assertThat(table.overdue(4_000, LIMITS)).contains("a");
        assertThat(table.examine("a", 4_000, LIMITS, 0)).contains(CloseReason.IDLE);
    }

    @Test
    void aConnectionThatIsReusedAtFourFifthsOfTheIdleTimeoutIsNeverOverdue() {
        table.open("a", 0);
        for (long now = 3_200; now < 100_000; now += 3_200) {
            assertThat(table.overdue(now, LIMITS)).isEmpty();
            ask("a", now);
        }
    }

    @Test
    void aConnectionWithARequestInProgressIsNeitherOverdueNorDisplaced() {
        table.open("a", 0);
        table.beginRequest("a");
        assertThat(table.overdue(1_000_000, LIMITS)).isEmpty();
        assertThat(table.longestWaiting(connection -> 0)).isEmpty();
        assertThat(table.examine("a", 1_000_000, LIMITS, 0)).isEmpty();
        table.endRequest("a", 1_000_000);
        assertThat(table.overdue(1_003_999, LIMITS)).isEmpty();
        assertThat(table.overdue(1_004_000, LIMITS)).contains("a");
    }

    @Test
    void aHeadHasItsOwnTimeoutFromItsFirstByteOn() {
        table.open("a", 0);
        table.beginHead("a", 3_900);
        assertThat(table.overdue(5_899, LIMITS))
                .as("longer than the idle timeout")
                .isEmpty();
        assertThat(table.overdue(5_900, LIMITS)).contains("a");
        assertThat(table.examine("a", 5_900, LIMITS, 0)).contains(CloseReason.HEAD_TIMEOUT);
    }

    @Test
    void aHeadThatCompletesInTimeLeavesNothingBehind() {
        table.open("a", 0);
        table.beginHead("a", 100);
        table.endHead("a", 2_000);
        ask("a", 2_000);
        assertThat(table.overdue(5_999, LIMITS)).isEmpty();
    }

    @Test
    void aHeadThatCameBehindARequestInProgressHasItsTimeoutFromTheEndOfThatRequestOn() {
        table.open("a", 0);
        table.beginRequest("a");
        table.beginHead("a", 10);
        table.endRequest("a", 10_000);
        assertThat(table.overdue(11_999, LIMITS)).isEmpty();
        assertThat(table.overdue(12_000, LIMITS)).contains("a");
    }

    @Test
    void raisedTimeoutsHoldForConnectionsThatAreIdleAlready() {
        table.open("a", 0);
        assertThat(table.overdue(9_000, new ConnectionLimits(12_000, 2_000, 100)))
                .isEmpty();
        assertThat(table.overdue(9_000, LIMITS)).contains("a");
    }

    @Test
    void aConnectionIsOverdueOnlyAsLongAsItWaits() {
        table.open("a", 0);
        assertThat(table.overdue(4_000, LIMITS)).contains("a");
        table.beginRequest("a");
        assertThat(table.examine("a", 4_000, LIMITS, 0)).isEmpty();
        assertThat(table.overdue(4_000, LIMITS)).isEmpty();
    }

    @Test
    void aPeerThatGoesOnReadingKeepsItsConnectionAndOneThatStopsDoesNot() {
        table.open("a", 0);
        ask("a", 0);
        assertThat(table.examine("a", 4_000, LIMITS, 900)).as("first look").isEmpty();
        assertThat(table.examine("a", 8_000, LIMITS, 500)).as("has read").isEmpty();
        assertThat(table.overdue(11_999, LIMITS)).isEmpty();
        assertThat(table.overdue(12_000, LIMITS)).contains("a");
        assertThat(table.examine("a", 12_000, LIMITS, 500)).contains(CloseReason.NOT_READING);
    }

    @Test
    void theConnectionThatHasWaitedLongestForARequestIsDisplacedFirst() {
        table.open("head", 0);
        table.beginHead("head", 1);
        table.open("first", 2);
        table.open("second", 3);
        ask("first", 4);
        assertThat(table.longestWaiting(connection -> 0)).contains("second");
        assertThat(table.longestWaiting(connection -> connection.equals("second") ? 1 : 0))
                .as("a response is not broken off")
                .contains("first");
        table.beginRequest("first");
        table.beginRequest("second");
        assertThat(table.longestWaiting(connection -> 0)).contains("head");
    }

    @Test
    void aConnectionThatHasEndedIsForgotten() {
        table.open("a", 0);
        ask("a", 1);
        assertThat(table.remove("a")).isEqualTo(1);
        assertThat(table.remove("a")).isZero();
        ask("a", 2);
        table.beginHead("a", 3);
        assertThat(table.size()).isZero();
        assertThat(table.overdue(1_000_000, LIMITS)).isEqualTo(Optional.empty());
    }

    private void ask(String connection, long nowMillis) {
        table.beginHead(connection, nowMillis);
        table.endHead(connection, nowMillis);
        table.beginRequest(connection);
        table.endRequest(connection, nowMillis);
    }
}
