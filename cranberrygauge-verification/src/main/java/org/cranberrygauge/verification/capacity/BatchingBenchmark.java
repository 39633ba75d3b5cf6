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
 * Measures how many entries the real appender makes of records, against a log in memory that answers after a fixed time.
 *
 * <p>Used by one thread.
 */
final class BatchingBenchmark {

    /** The rates of records for one writer a second. */
    private static final int[] RATES = {2, 10, 50, 200, 1_000};

    /** The time of one run in milliseconds. */
    private static final long RUN_MILLIS = 3_000;

    /** The time after which the log answers in milliseconds. */
    private static final long ANSWER_MILLIS = 5;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Measures all.
     *
     * @return The slope of the time between entries over the time between records.
     */
    List<Slope> measure() {
        List<Sample> cycles = new ArrayList<>();
        for (int rate : RATES) {
            cycles.add(new Sample(MILLIS_PER_SECOND / rate, MILLIS_PER_SECOND / entriesPerSecond(rate)));
        }
        return List.of(
                Slope.of("time between entries of one writer", "milliseconds between records", "milliseconds", cycles));
    }

    /**
     * Appends records at a steady rate.
     *
     * @param rate The records a second.
     * @return The entries a second.
     */
    private static double entriesPerSecond(int rate) {
        Vertx vertx = Vertx.vertx();
        try {
            LogAppender appender = new LogAppender(vertx, new FixedDelayLog(vertx), "host-1/1");
            long start = System.nanoTime();
            long records = rate * RUN_MILLIS / (long) MILLIS_PER_SECOND;
            for (long number = 0; number < records; number++) {
                long due = start + number * TimeUnit.SECONDS.toNanos(1) / rate;
                while (System.nanoTime() < due) {
                    LockSupport.parkNanos(due - System.nanoTime());
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
     * A log that takes every entry and answers later.
     *
     * <p>Safe for use by several threads.
     */
    private static final class FixedDelayLog implements PlatformLog {

        /** The Vert.x instance. */
        private final Vertx vertx;

        /** The offset of the last entry. */
        private final AtomicLong offset = new AtomicLong();

        /**
         * Creates a log.
         *
         * @param vertx The Vert.x instance.
         */
        private FixedDelayLog(Vertx vertx) {
            this.vertx = vertx;
        }

        @Override
        public CompletionStage<Long> append(String payload) {
            CompletableFuture<Long> answer = new CompletableFuture<>();
            vertx.setTimer(ANSWER_MILLIS, timer -> answer.complete(offset.incrementAndGet()));
            return answer;
        }

        @Override
        public CompletionStage<Page> read(long afterOffset, int limit, long waitMillis) {
            return CompletableFuture.completedFuture(new Page(0, offset.get(), List.of()));
        }
    }
}
