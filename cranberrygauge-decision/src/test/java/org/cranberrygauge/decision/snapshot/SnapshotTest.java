package org.cranberrygauge.decision.snapshot;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.SnapshotPart;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class SnapshotTest {

    private static final int ENTRIES = 120;
    private static final int STEP_MILLIS = 1_500_000;

    @Property(tries = 300, seed = "7")
    void a_state_from_snapshot_and_tail_equals_the_state_from_the_whole_log(@ForAll long seed) {
        Random random = new Random(seed);
        List<LogEntry> log = new ArrayList<>();
        LogState whole = new LogState();
        LogState restored = new LogState();
        int cut = 1 + random.nextInt(ENTRIES - 1);
        long timeMillis = 0;
        for (int offset = 1; offset <= ENTRIES; offset++) {
            timeMillis += random.nextInt(STEP_MILLIS);
            LogEntry entry = !log.isEmpty() && random.nextInt(8) == 0
                    ? log.get(random.nextInt(log.size()))
                    : new LogEntry(
                            "w" + random.nextInt(4), offset, List.of(record(random, whole), record(random, whole)));
            log.add(entry);
            List<?> results = whole.apply(offset, timeMillis, entry);
            if (offset > cut) {
                assertThat(restored.apply(offset, timeMillis, entry)).isEqualTo(results);
            } else if (offset == cut) {
                assertThat(restored.restore(whole.export())).isTrue();
            }
        }
        assertSame(restored.export(), whole.export());
    }

    @Test
    void parts_of_two_snapshots_are_not_mixed_and_duplicate_parts_are_harmless() {
        List<SnapshotPart> first = SnapshotParts.split("first", 10, "abcdefg", 3);
        List<SnapshotPart> second = SnapshotParts.split("second", 20, "ABCDEFG", 3);
        SnapshotParts parts = new SnapshotParts();

        assertThat(parts.add(first.get(0))).isEmpty();
        assertThat(parts.add(second.get(2))).isEmpty();
        assertThat(parts.add(first.get(2))).isEmpty();
        assertThat(parts.add(first.get(2))).isEmpty();
        assertThat(parts.add(second.get(0))).isEmpty();
        assertThat(parts.add(first.get(1))).isEqualTo(Optional.of("abcdefg"));
        assertThat(parts.add(second.get(1))).isEqualTo(Optional.of("ABCDEFG"));
    }

    @Test
    void a_state_that_read_further_does_not_go_back_to_a_snapshot() {
        LogState state = new LogState();
        Snapshot empty = state.export();
        state.apply(1, 0, new LogEntry("w", 1, List.of(new LogRecord.GatewayJoined("g", "h", "d", "a:1"))));

        assertThat(state.restore(empty)).isFalse();
        assertThat(state.members().all()).hasSize(1);
    }

    @Test
    void a_snapshot_is_due_once_the_log_has_grown_for_an_interval_since_the_last_one() {
        SnapshotSchedule schedule = new SnapshotSchedule.Periodic(1_000);

        assertThat(schedule.isDue(2_000, 7, new SnapshotPosition(5, 1_001))).isFalse();
        assertThat(schedule.isDue(2_001, 7, new SnapshotPosition(5, 1_001))).isTrue();
        assertThat(schedule.isDue(9_000, 5, new SnapshotPosition(5, 1_001))).isFalse();
    }

    private static void assertSame(Snapshot actual, Snapshot expected) {
        assertThat(sets(actual)).isEqualTo(sets(expected));
        assertThat(actual.reservations()).isEqualTo(expected.reservations());
        assertThat(actual.usage()).isEqualTo(expected.usage());
        assertThat(actual.writers()).isEqualTo(expected.writers());
    }

    private static List<Object> sets(Snapshot snapshot) {
        return List.of(
                snapshot.offset(),
                snapshot.logTimeMillis(),
                snapshot.configuration(),
                snapshot.lease(),
                new HashSet<>(snapshot.members()),
                snapshot.drains(),
                new HashSet<>(snapshot.openOrders()),
                snapshot.previous());
    }

    private static LogRecord record(Random random, LogState state) {
        String name = "n" + random.nextInt(4);
        long fencing = state.lease().fencingNumber() - random.nextInt(2);
        long claim = state.lease().lastClaimOffset() - random.nextInt(2);
        return switch (random.nextInt(14)) {
            case 0 -> new LogRecord.GatewayJoined(name, "h" + random.nextInt(3), "d", "a:1");
            case 1 -> new LogRecord.GatewayLeft(name, "test");
            case 2 -> new LogRecord.LeaseClaim(name, "h", claim, 6_000);
            case 3 -> new LogRecord.LeaseRelease(name, claim);
            case 4, 5 -> new LogRecord.Reservation("r" + random.nextInt(20), "c", "/b", name, "body", name, 0);
            case 6 ->
                new LogRecord.ReservationOutcome(
                        "r" + random.nextInt(20),
                        LogRecord.Disposition.values()[random.nextInt(3)],
                        200,
                        "text/plain",
                        "",
                        true);
            case 7 -> new LogRecord.ReservationRelease("r" + random.nextInt(20), "operator");
            case 8 -> new LogRecord.OrderIntent("o" + random.nextInt(9), name, fencing, "pool", 1, "test");
            case 9 -> new LogRecord.OrderOutcome("o" + random.nextInt(9), fencing, "done");
            case 10 ->
                new LogRecord.UsageDelta(
                        name,
                        1,
                        Map.of(new UsageKey("c", "k" + random.nextInt(2)), new UsageFigures(random.nextInt(9), 1, 2)));
            case 11 -> new LogRecord.WindowClose(state.usage().lastClosed() + 1, name, fencing);
            case 12 -> new LogRecord.DrainStarted(name, fencing, Set.of("b"), "test");
            default ->
                new LogRecord.ConfigurationChange(
                        "change-" + random.nextInt(),
                        "operator",
                        state.configuration().current().version(),
                        Configuration.empty());
        };
    }
}
