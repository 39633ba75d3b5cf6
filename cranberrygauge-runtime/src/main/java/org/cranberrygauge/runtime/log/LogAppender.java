package org.cranberrygauge.runtime.log;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.PlatformLog;

/**
 * Appends records, many to an entry.
 *
 * <p>Invariants: entries are sent one at a time in the order of their sequence numbers; an entry whose answer is lost is
 * sent again with the same sequence number, so that readers drop the copy; the queue is bounded. Any thread may append;
 * one Vert.x context sends.
 */
public final class LogAppender {

    /** The highest number of records in one entry. */
    private static final int RECORDS_PER_ENTRY = 256;

    /** The highest number of records that wait. */
    private static final int QUEUE_LIMIT = 8_192;

    /** The shortest time between two entries in milliseconds, in which records gather. */
    private static final long GATHER_MILLIS = 5;

    /** The time after a failed append before it is sent again in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The context on which all sending happens. */
    private final Context context;

    /** The log. */
    private final PlatformLog log;

    /** The incarnation that writes. */
    private final String writer;

    /** The records that wait; used on the context only. */
    private final Deque<Pending> queue = new ArrayDeque<>();

    /** The number of records that wait or are under way. */
    private final AtomicLong backlog = new AtomicLong();

    /** The number of entries appended. */
    private final AtomicLong appended = new AtomicLong();

    /** The sequence number of the last entry; used on the context only. */
    private long sequence;

    /** Whether an entry is under way or scheduled; used on the context only. */
    private boolean busy;

    /**
     * Creates an appender.
     *
     * @param vertx The Vert.x instance.
     * @param log The log.
     * @param writer The incarnation that writes.
     */
    public LogAppender(Vertx vertx, PlatformLog log, String writer) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.log = log;
        this.writer = writer;
    }

    /**
     * Appends a record, however long the log is unavailable.
     *
     * @param record The record.
     * @return The offset of its entry, or a failure at once if the queue is full.
     */
    public Future<Long> append(LogRecord record) {
        if (backlog.incrementAndGet() > QUEUE_LIMIT) {
            backlog.decrementAndGet();
            return Future.failedFuture(
                    new CranberrygaugeException(ErrorCode.LOG_UNAVAILABLE, "the queue of the log is full"));
        }
        Promise<Long> promise = Promise.promise();
        context.runOnContext(ignored -> {
            queue.addLast(new Pending(record, promise));
            schedule();
        });
        return promise.future();
    }

    /**
     * Returns the number of records that wait or are under way.
     *
     * @return The number.
     */
    public long backlog() {
        return backlog.get();
    }

    /**
     * Returns the number of entries appended.
     *
     * @return The number.
     */
    public long appended() {
        return appended.get();
    }

    /** Schedules the next entry unless one is under way. */
    private void schedule() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        vertx.setTimer(GATHER_MILLIS, ignored -> context.runOnContext(again -> sendNext()));
    }

    /** Sends the next entry. */
    private void sendNext() {
        List<Pending> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < RECORDS_PER_ENTRY) {
            batch.add(queue.removeFirst());
        }
        sequence++;
        List<LogRecord> records = batch.stream().map(Pending::record).toList();
        send(LogCodec.write(new LogEntry(writer, sequence, records)), batch);
    }

    /**
     * Sends an entry until its answer arrives.
     *
     * @param payload The entry.
     * @param batch The records in it.
     */
    private void send(String payload, List<Pending> batch) {
        log.append(payload)
                .whenComplete((offset, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        vertx.setTimer(RETRY_MILLIS, timer -> context.runOnContext(again -> send(payload, batch)));
                        return;
                    }
                    backlog.addAndGet(-batch.size());
                    appended.incrementAndGet();
                    busy = false;
                    batch.forEach(pending -> pending.promise().complete(offset));
                    schedule();
                }));
    }

    /**
     * A record that waits.
     *
     * @param record The record.
     * @param promise Takes the offset.
     */
    private record Pending(LogRecord record, Promise<Long> promise) {}
}
