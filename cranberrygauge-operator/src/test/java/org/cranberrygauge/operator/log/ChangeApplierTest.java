package org.cranberrygauge.operator.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.operator.command.ExitStatus;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.Test;

class ChangeApplierTest {

    private static final long TIMEOUT_MILLIS = 200;

    private final FakeLog log = new FakeLog();

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    private final LogSession session = session("ana");

    @Test
    void a_change_takes_effect_once_if_the_answer_to_its_append_is_lost() throws CranberrygaugeException {
        log.lostAnswers = 1;
        assertThat(apply("one", 0)).isEqualTo(ExitStatus.DONE);
        assertThat(log.entries).hasSize(2);
        assertThat(session.changes()).hasSize(1);
    }

    @Test
    void a_change_based_on_an_old_version_is_a_conflict_and_changes_nothing() throws CranberrygaugeException {
        assertThat(apply("one", 0)).isEqualTo(ExitStatus.DONE);
        assertThat(apply("two", 0)).isEqualTo(ExitStatus.CONFLICT);
        assertThat(session.readToEnd().configuration().current().version()).isEqualTo(1);
        assertThat(printed.toString(StandardCharsets.UTF_8))
                .contains("conflict")
                .contains("nothing was changed");
    }

    @Test
    void an_append_fails_if_the_log_does_not_answer() {
        log.down = true;
        assertThatThrownBy(() -> apply("one", 0))
                .isInstanceOfSatisfying(
                        CranberrygaugeException.class,
                        exception -> assertThat(exception.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE));
    }

    @Test
    void a_change_stays_unconfirmed_if_the_log_fails_after_it_was_read_back() throws CranberrygaugeException {
        log.readsUntilDown = 1;
        assertThat(apply("one", 0)).isEqualTo(ExitStatus.UNCONFIRMED);
        assertThat(printed.toString(StandardCharsets.UTF_8)).contains("appended as version 1, not yet confirmed by");
    }

    @Test
    void gateways_that_do_not_confirm_are_named() throws CranberrygaugeException {
        session("gateway").append(new LogRecord.GatewayJoined("host-1/1", "host-1", "a", "127.0.0.1:1"));
        assertThat(apply("one", 0)).isEqualTo(ExitStatus.UNCONFIRMED);
        assertThat(printed.toString(StandardCharsets.UTF_8)).contains("not yet confirmed by host-1");
    }

    private ExitStatus apply(String changeId, long base) throws CranberrygaugeException {
        Configuration configuration = new Configuration(
                "fountains",
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                ControlTimes.standard());
        PrintStream output = new PrintStream(printed, true, StandardCharsets.UTF_8);
        return new ChangeApplier(session, TIMEOUT_MILLIS).apply(changeId, "ana", base, configuration, output);
    }

    private LogSession session(String writer) {
        return new LogSession(log, TimeSource.System.INSTANCE, writer, TIMEOUT_MILLIS);
    }

    private static final class FakeLog implements PlatformLog {

        private final List<StoredEntry> entries = new ArrayList<>();

        private int lostAnswers;

        private boolean down;

        private int readsUntilDown = Integer.MAX_VALUE;

        @Override
        public CompletionStage<Long> append(String payload) {
            if (down) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            entries.add(new StoredEntry(entries.size() + 1L, 1, payload));
            if (lostAnswers > 0) {
                lostAnswers--;
                return new CompletableFuture<>();
            }
            return CompletableFuture.completedFuture((long) entries.size());
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            if (down || readsUntilDown-- <= 0) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            List<StoredEntry> after = entries.stream()
                    .filter(entry -> entry.offset() > afterOffset)
                    .toList();
            return CompletableFuture.completedFuture(new Page(1, entries.size(), after));
        }
    }
}
