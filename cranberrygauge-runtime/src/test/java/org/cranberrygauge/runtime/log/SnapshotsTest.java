package org.cranberrygauge.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.snapshot.Snapshot;
import org.cranberrygauge.decision.snapshot.SnapshotSchedule;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.Test;

class SnapshotsTest {

    private final List<PlatformLog.StoredEntry> log = new ArrayList<>();
    private final LogState state = new LogState();
    private final EventLog events = event -> {};

    @Test
    void a_state_with_every_kind_of_record_survives_the_log_and_a_dropped_beginning() {
        fill();
        writer(new SnapshotSchedule.Periodic(1)).tick(state);
        log.subList(0, 5).clear();

        Snapshot found = search().newest().orElseThrow();
        LogState restored = new LogState();
        assertThat(restored.restore(found)).isTrue();
        log.stream().filter(entry -> entry.offset() > found.offset()).forEach(entry -> apply(restored, entry));

        assertThat(restored.export()).usingRecursiveComparison().isEqualTo(state.export());
        assertThat(restored.export().reservations()).hasSize(2);
    }

    @Test
    void without_snapshots_a_dropped_beginning_leaves_nothing_to_start_from() {
        fill();
        writer(SnapshotSchedule.Disabled.INSTANCE).tick(state);
        log.subList(0, 5).clear();

        assertThat(search().newest()).isEmpty();
    }

    @Test
    void a_snapshot_that_is_older_than_what_the_log_keeps_is_not_taken() {
        fill();
        writer(new SnapshotSchedule.Periodic(1)).tick(state);
        long through = state.snapshot().throughOffset();
        append(new LogRecord.GatewayLeft("none", "test"));
        PlatformLog.Page page = new PlatformLog.Page(through + 2, log.size(), log);
        SnapshotReader reader = new SnapshotReader();
        reader.take(page);

        assertThat(reader.newest()).isEmpty();
    }

    @Test
    void a_follower_that_starts_after_the_beginning_was_dropped_restores_the_snapshot() throws Exception {
        fill();
        writer(new SnapshotSchedule.Periodic(1)).tick(state);
        append(new LogRecord.GatewayJoined("late", "host-late", "d", "a:9"));
        log.subList(0, 5).clear();
        Vertx vertx = Vertx.vertx();
        Blackboard blackboard = new Blackboard(0);
        CountDownLatch atEnd = new CountDownLatch(1);
        LogFollower follower =
                new LogFollower(vertx, new RetainedLog(atEnd), blackboard, TimeSource.System.INSTANCE, events);
        follower.start();

        assertThat(atEnd.await(10, TimeUnit.SECONDS)).isTrue();
        follower.stop();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        assertThat(blackboard.log().members().contains("late")).isTrue();
        assertThat(blackboard.log().members().contains("g")).isTrue();
        assertThat(blackboard.log().lease()).isEqualTo(state.lease());
    }

    private void fill() {
        append(new LogRecord.GatewayJoined("g", "host", "d", "a:1"));
        append(new LogRecord.LeaseClaim("c", "host", 0, 6_000));
        append(new LogRecord.Reservation("r1", "c", "/b", "key-1", "body", "g", 0));
        append(new LogRecord.Reservation("r2", "c", "/b", "key-2", "body", "g", 0));
        append(new LogRecord.ReservationOutcome(
                "r1", LogRecord.Disposition.ANSWERED, 200, "text/plain", "\"quoted\"", true));
        append(new LogRecord.UsageDelta("g", 1, Map.of(new UsageKey("c", "k"), new UsageFigures(1, 2, 3))));
        append(new LogRecord.WindowClose(1, "c", 2));
        append(new LogRecord.OrderIntent("o", "c", 2, "pool", 1, "test"));
        append(new LogRecord.DrainStarted("drain", 2, java.util.Set.of("b"), "test"));
    }

    private SnapshotWriter writer(SnapshotSchedule schedule) {
        return new SnapshotWriter("c", schedule, record -> Future.succeededFuture(append(record)), events);
    }

    private long append(LogRecord record) {
        long offset = log.isEmpty() ? 1 : log.get(log.size() - 1).offset() + 1;
        String payload = LogCodec.write(new LogEntry("writer", offset, List.of(record)));
        PlatformLog.StoredEntry entry = new PlatformLog.StoredEntry(offset, offset * 10, payload);
        log.add(entry);
        apply(state, entry);
        return offset;
    }

    private SnapshotReader search() {
        SnapshotReader reader = new SnapshotReader();
        reader.take(page(0));
        return reader;
    }

    private PlatformLog.Page page(long afterOffset) {
        List<PlatformLog.StoredEntry> entries =
                log.stream().filter(entry -> entry.offset() > afterOffset).toList();
        return new PlatformLog.Page(log.get(0).offset(), log.get(log.size() - 1).offset(), entries);
    }

    private static void apply(LogState state, PlatformLog.StoredEntry entry) {
        try {
            state.apply(entry.offset(), entry.appendedAtMillis(), LogCodec.read(entry.payload()));
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    private final class RetainedLog implements PlatformLog {

        private final CountDownLatch atEnd;

        private RetainedLog(CountDownLatch atEnd) {
            this.atEnd = atEnd;
        }

        @Override
        public CompletionStage<Long> append(String payload) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException());
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            if (afterOffset >= log.get(log.size() - 1).offset()) {
                atEnd.countDown();
                return new CompletableFuture<>();
            }
            return CompletableFuture.completedFuture(page(afterOffset));
        }
    }
}
