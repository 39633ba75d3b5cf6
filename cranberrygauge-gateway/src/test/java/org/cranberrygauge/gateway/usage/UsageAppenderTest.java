package org.cranberrygauge.gateway.usage;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.log.LogAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UsageAppenderTest {

    private static final UsageKey CHAT = new UsageKey("odense-heritage", "field-crew-chat");

    private final Vertx vertx = Vertx.vertx();
    private final ManualLog log = new ManualLog();
    private final UsageCounter counter = new UsageCounter("host-1/1");
    private final UsageAppender appender = new UsageAppender(vertx, counter, new LogAppender(vertx, log, "host-1/1"));

    @AfterEach
    void close() {
        vertx.close();
    }

    @Test
    void a_flush_waits_for_the_delta_under_way_and_sends_what_was_counted_after_it() throws Exception {
        counter.count(CHAT, new UsageFigures(1, 0, 0));
        appender.appendIfDue();
        Append first = log.appends.poll(10, TimeUnit.SECONDS);
        counter.count(CHAT, new UsageFigures(1, 0, 0));
        Future<Void> flushed = appender.flush();
        first.answer().complete(1L);
        Append second = log.appends.poll(10, TimeUnit.SECONDS);
        assertThat(second.payload()).contains("\"calls\":2");
        assertThat(flushed.isComplete()).isFalse();
        second.answer().complete(2L);
        flushed.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        assertThat(counter.isDirty()).isFalse();
    }

    private record Append(String payload, CompletableFuture<Long> answer) {}

    private static final class ManualLog implements PlatformLog {

        private final BlockingQueue<Append> appends = new LinkedBlockingQueue<>();

        @Override
        public CompletionStage<Long> append(String payload) {
            Append append = new Append(payload, new CompletableFuture<>());
            appends.add(append);
            return append.answer();
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            return new CompletableFuture<>();
        }
    }
}
