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
 * Appends records to the log, batching several into one entry.
 *
 * <p>Invariants: entries are sent one at a time in the order of their sequence numbers; an entry whose response is lost
 * is sent again with the same sequence number, so that readers drop the duplicate; the queue is bounded. Any thread may
 * append; one Vert.x context sends.
 */
public final class LogAppender {

    /** The largest number of records in one entry. */
    private static final int RECORDS_PER_ENTRY = 256;

    /** The largest number of records that are queued or in flight. */
    private static final int QUEUE_LIMIT = 8_192;

    /** The delay before an entry is sent in milliseconds, during which records are batched. */
    private static final long BATCH_DELAY_MILLIS = 5;

    /** The delay before a failed append is retried in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    private final Vertx vertx;

    private final Context context;

    private final PlatformLog log;

    private final String writer;

    /** The queued records; used on the context only. */
    private final Deque<PendingRecord> queue = new ArrayDeque<>();

    /** The number of records that are queued or in flight. */
    private final AtomicLong backlog = new AtomicLong();

    private final AtomicLong appended = new AtomicLong();

    /** The sequence number of the last entry; used on the context only. */
    private long sequence;

    /** Whether an entry is in flight or scheduled; used on the context only. */
    private boolean busy;

    /**
     * Creates an appender with an empty queue.
     *
     * @param writer The incarnation that is named as the writer of the entries.
     */
    public LogAppender(Vertx vertx, PlatformLog log, String writer) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.log = log;
        this.writer = writer;
    }

    /**
     * Appends a record, retrying for as long as the log is unavailable.
     *
     * @return The offset of its entry, or an immediate failure if the queue is full.
     */
    public Future<Long> append(LogRecord record) {
        if (backlog.incrementAndGet() > QUEUE_LIMIT) {
            backlog.decrementAndGet();
            return Future.failedFuture(
                    new CranberrygaugeException(ErrorCode.LOG_UNAVAILABLE, "the append queue of the log is full"));
        }
        Promise<Long> promise = Promise.promise();
        context.runOnContext(ignored -> {
            queue.addLast(new PendingRecord(record, promise));
            schedule();
        });
        return promise.future();
    }

    /** Returns the number of records that are queued or in flight. */
    public long backlog() {
        return backlog.get();
    }

    /** Returns the number of entries appended. */
    public long appended() {
        return appended.get();
    }

    private void schedule() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        vertx.setTimer(BATCH_DELAY_MILLIS, ignored -> context.runOnContext(again -> sendNext()));
    }

    private void sendNext() {
        List<PendingRecord> batch = new ArrayList<>();
        while (!queue.isEmpty() && batch.size() < RECORDS_PER_ENTRY) {
            batch.add(queue.removeFirst());
        }
        sequence++;
        List<LogRecord> records = batch.stream().map(PendingRecord::record).toList();
        send(LogCodec.write(new LogEntry(writer, sequence, records)), batch);
    }

    private void send(String payload, List<PendingRecord> batch) {
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

    /** A queued record, and the promise that receives the offset of its entry. */
    private record PendingRecord(LogRecord record, Promise<Long> promise) {}
}
