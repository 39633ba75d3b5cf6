package org.cranberrygauge.verification.capacity;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Measures how many entries the log appender makes of a stream of records, against a log in memory with a fixed
 * latency.
 *
 * <p>Not thread-safe.
 */
final class BatchingBenchmark {

    /** The records per second of one writer. */
    private static final int[] RATES = {2, 10, 50, 200, 1_000};

    private static final long RUN_MILLIS = 3_000;

    private static final long LOG_LATENCY_MILLIS = 5;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the slope of the time between entries over the time between records. */
    List<Slope> measure() {
        List<Sample> samples = new ArrayList<>();
        for (int rate : RATES) {
            samples.add(new Sample(MILLIS_PER_SECOND / rate, MILLIS_PER_SECOND / entriesPerSecond(rate)));
        }
        return List.of(Slope.of(
                "time between entries of one writer", "milliseconds between records", "milliseconds", samples));
    }

    /** Appends records at a steady rate and returns the entries per second. */
    private static double entriesPerSecond(int rate) {
        Vertx vertx = Vertx.vertx();
        try {
            LogAppender appender = new LogAppender(vertx, new FixedDelayLog(vertx), "host-1/1");
            long startNanos = System.nanoTime();
            long records = rate * RUN_MILLIS / (long) MILLIS_PER_SECOND;
            for (long number = 0; number < records; number++) {
                long dueNanos = startNanos + number * TimeUnit.SECONDS.toNanos(1) / rate;
                while (System.nanoTime() < dueNanos) {
                    LockSupport.parkNanos(dueNanos - System.nanoTime());
                }
                appender.append(SyntheticData.reservation(number));
            }
            while (appender.backlog() > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            }
            return appender.appended() * MILLIS_PER_SECOND / RUN_MILLIS;
        } finally {
            vertx.close().await();
        }
    }

    /**
     * A log that accepts every entry and answers after a fixed delay.
     *
     * <p>Safe for use by several threads.
     */
    private static final class FixedDelayLog implements PlatformLog {

        private final Vertx vertx;

        /** The offset of the last entry. */
        private final AtomicLong offset = new AtomicLong();

        private FixedDelayLog(Vertx vertx) {
            this.vertx = vertx;
        }

        @Override
        public CompletionStage<Long> append(String payload) {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            vertx.setTimer(LOG_LATENCY_MILLIS, timer -> answer.complete(offset.incrementAndGet()));
            return answer;
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            return CompletableFuture.completedFuture(new Page(0, offset.get(), List.of()));
        }
    }
}
