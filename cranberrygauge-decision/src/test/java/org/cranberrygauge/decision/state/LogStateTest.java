package org.cranberrygauge.decision.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class LogStateTest {

    private static final long HOUR_MILLIS = 3_600_000;

    private final LogState state = new LogState();

    @Test
    void writers_that_were_idle_longer_than_any_duplicate_can_be_late_are_forgotten() {
        for (int restart = 0; restart < 500; restart++) {
            state.apply(
                    restart + 1L,
                    restart * HOUR_MILLIS / 10,
                    entry("writer-" + restart, 1, new LogRecord.GatewayLeft("none", "test")));
        }

        assertThat(state.export().writers()).hasSizeLessThan(15);
    }

    @Test
    void a_late_duplicate_of_an_entry_has_no_effect() {
        state.apply(1, 0, entry("writer", 1, new LogRecord.GatewayJoined("g", "h", "d", "a:1")));
        state.apply(2, 1, entry("writer", 2, new LogRecord.GatewayLeft("g", "test")));
        state.apply(3, HOUR_MILLIS, entry("writer", 1, new LogRecord.GatewayJoined("g", "h", "d", "a:1")));

        assertThat(state.members().all()).isEmpty();
    }

    @Test
    void a_gateway_that_joins_again_keeps_its_running_calls() {
        LogRecord.GatewayJoined joined = new LogRecord.GatewayJoined("g", "h", "d", "a:1");
        state.apply(1, 0, entry("g", 1, joined));
        state.apply(2, 1, entry("g", 2, new LogRecord.Reservation("r", "c", "/b", "key", "body", "g", 0)));
        state.apply(3, 2, entry("g", 3, joined));

        assertThat(state.reservations().lookup("c", "/b", "key", "body"))
                .contains(ReservationDecision.Running.INSTANCE);
    }

    @Test
    void an_operator_is_told_whether_a_release_freed_the_key() {
        state.apply(1, 0, entry("g", 1, new LogRecord.Reservation("r", "c", "/b", "key", "body", "g", 0)));
        LogRecord.ReservationRelease release = new LogRecord.ReservationRelease("r", "operator");

        assertThat(state.apply(2, HOUR_MILLIS, entry("o", 1, release)))
                .containsExactly(new ApplyResult.ReleaseResult("r", "operator", false));
        state.apply(3, HOUR_MILLIS, entry("x", 1, new LogRecord.GatewayLeft("g", "test")));
        assertThat(state.apply(4, HOUR_MILLIS, entry("o", 2, release)))
                .containsExactly(new ApplyResult.ReleaseResult("r", "operator", true));
    }

    @Test
    void an_intent_after_the_lease_was_released_is_void() {
        state.apply(1, 0, entry("c", 1, new LogRecord.LeaseClaim("c", "h", 0, 6_000)));
        state.apply(2, 0, entry("c", 2, new LogRecord.LeaseRelease("c", 1)));
        LogRecord.OrderIntent intent = new LogRecord.OrderIntent("o", "c", 1, "pool", 1, "demand");

        assertThat(state.apply(3, 0, entry("c", 3, intent)))
                .containsExactly(new ApplyResult.IntentResult(intent, false));
    }

    @Test
    void totals_of_a_gateway_that_left_are_forgotten_after_a_day_and_those_of_a_member_never() {
        Map<UsageKey, UsageFigures> totals = Map.of(new UsageKey("c", "k"), new UsageFigures(1, 2, 3));
        state.apply(1, 0, entry("m", 1, new LogRecord.GatewayJoined("member", "h", "d", "a:1")));
        state.apply(2, 0, entry("m", 2, new LogRecord.UsageDelta("member", 1, totals)));
        state.apply(3, 0, entry("l", 1, new LogRecord.UsageDelta("left", 1, totals)));
        state.apply(4, 30 * HOUR_MILLIS, entry("x", 1, new LogRecord.GatewayLeft("none", "test")));

        assertThat(state.export().usage().gateways())
                .singleElement()
                .satisfies(gateway -> assertThat(gateway.gateway()).isEqualTo("member"));
    }

    private static LogEntry entry(String writer, long sequence, LogRecord record) {
        return new LogEntry(writer, sequence, List.of(record));
    }
}
