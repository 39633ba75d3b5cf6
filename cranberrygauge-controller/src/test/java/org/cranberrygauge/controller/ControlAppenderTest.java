package org.cranberrygauge.controller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.lease.LeaseState;
import org.cranberrygauge.model.record.LogRecord.LeaseClaim;
import org.cranberrygauge.model.record.LogRecord.WindowClose;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.blackboard.LogPosition;
import org.cranberrygauge.runtime.log.LogAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlAppenderTest {

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long LEASE_MILLIS = 6_000;
    private static final String LEASE_CLAIM_KEY = "lease-claim";

    private final Vertx vertx = Vertx.vertx();
    private final PendingLog log = new PendingLog();
    private final Blackboard blackboard = new Blackboard(0);
    private final LogAppender appender = new LogAppender(vertx, log, "host-1/1");
    private final ControlAppender controlAppender = new ControlAppender(appender, blackboard);

    @AfterEach
    void close() {
        vertx.close();
    }

    @Test
    void an_hour_long_log_outage_queues_one_claim() {
        LeaderElector leaderElector = new LeaderElector("host-1/1", "host-1", 0);
        for (long nowMillis = 0; nowMillis < HOUR_MILLIS; nowMillis += 100) {
            if (controlAppender.isFree(LEASE_CLAIM_KEY)) {
                leaderElector
                        .decide(nowMillis, LEASE_MILLIS)
                        .ifPresent(claim -> controlAppender.append(LEASE_CLAIM_KEY, claim));
            }
        }
        assertThat(appender.backlog()).isEqualTo(1);
    }

    @Test
    void without_a_key_an_hour_long_log_outage_queues_one_claim_per_renewal() {
        LeaderElector leaderElector = new LeaderElector("host-1/1", "host-1", 0);
        for (long nowMillis = 0; nowMillis < HOUR_MILLIS; nowMillis += 100) {
            leaderElector.decide(nowMillis, LEASE_MILLIS).ifPresent(appender::append);
        }
        assertThat(appender.backlog()).isEqualTo(600);
    }

    @Test
    void a_claim_appended_an_hour_late_does_not_grant_the_lease() {
        LeaderElector leaderElector = new LeaderElector("host-1/1", "host-1", 0);
        List<LeaseClaim> claims = new ArrayList<>();
        for (long nowMillis = 0; nowMillis < HOUR_MILLIS; nowMillis += 100) {
            if (controlAppender.isFree(LEASE_CLAIM_KEY)) {
                leaderElector.decide(nowMillis, LEASE_MILLIS).ifPresent(claim -> {
                    claims.add(claim);
                    controlAppender.append(LEASE_CLAIM_KEY, claim);
                });
            }
        }
        leaderElector.observe(HOUR_MILLIS, LeaseState.initial().apply(1, claims.get(0)));
        assertThat(leaderElector.holds(HOUR_MILLIS)).isFalse();
    }

    @Test
    void a_key_is_free_only_after_its_record_has_been_read_back() throws Exception {
        WindowClose close = new WindowClose(1, "host-1/1", 7);
        assertThat(controlAppender.append("window-close", close)).isPresent();
        assertThat(controlAppender.append("window-close", close)).isEmpty();
        CompletableFuture<Long> appended = controlAppender
                .append("other", close)
                .orElseThrow()
                .toCompletionStage()
                .toCompletableFuture();
        log.answers.poll(10, TimeUnit.SECONDS).complete(5L);
        assertThat(appended.get(10, TimeUnit.SECONDS)).isEqualTo(5);
        assertThat(controlAppender.isFree("window-close")).isFalse();
        blackboard.publish(new LogPosition(5, 0));
        assertThat(controlAppender.isFree("window-close")).isTrue();
    }

    private static final class PendingLog implements PlatformLog {

        private final BlockingQueue<CompletableFuture<Long>> answers = new LinkedBlockingQueue<>();

        @Override
        public CompletionStage<Long> append(String payload) {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            answers.add(answer);
            return answer;
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            return new CompletableFuture<>();
        }
    }
}
