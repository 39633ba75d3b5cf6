package org.cranberrygauge.operator.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.cranberrygauge.decision.configuration.ConfigurationState.Verdict;
import org.cranberrygauge.decision.snapshot.Snapshot;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.log.SnapshotReader;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * A command's session with the log: reads it on demand and appends records to it.
 *
 * <p>Used by one thread.
 */
public final class LogSession {

    private static final int READ_LIMIT = 1_000;

    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The timeout of an append covers this many calls, so that a call whose answer is lost can be repeated. */
    private static final long CALLS_PER_TIMEOUT = 4;

    private final PlatformLog log;

    private final TimeSource time;

    private final String writer;

    private final long timeoutMillis;

    private final long callTimeoutMillis;

    private final LogState state = new LogState();

    private final LogHistory history = new LogHistory();

    private final List<ApplyResult.ChangeResult> changes = new ArrayList<>();

    private long sequence;

    /**
     * Creates a session that has read nothing yet.
     *
     * @param writer The incarnation that appends records.
     * @param timeoutMillis The timeout of an append in milliseconds; a single call times out after a quarter of it.
     */
    public LogSession(PlatformLog log, TimeSource time, String writer, long timeoutMillis) {
        this.log = log;
        this.time = time;
        this.writer = writer;
        this.timeoutMillis = timeoutMillis;
        this.callTimeoutMillis = Math.max(1, timeoutMillis / CALLS_PER_TIMEOUT);
    }

    /**
     * Reads up to the end of the log.
     *
     * @return The state machines after the last entry.
     * @throws CranberrygaugeException If the log does not answer.
     */
    public LogState readToEnd() throws CranberrygaugeException {
        PlatformLog.Page page;
        do {
            page = await(log.read(state.offset(), READ_LIMIT, 0));
            if (page.firstOffset() > state.offset() + 1) {
                restore();
                page = await(log.read(state.offset(), READ_LIMIT, 0));
            }
            for (PlatformLog.StoredEntry entry : page.entries()) {
                apply(entry);
            }
        } while (state.offset() < page.endOffset() && !page.entries().isEmpty());
        return state;
    }

    /** Continues from the newest snapshot, because the log no longer keeps the entries after the current offset. */
    private void restore() throws CranberrygaugeException {
        SnapshotReader reader = new SnapshotReader();
        PlatformLog.Page page;
        do {
            page = await(log.read(reader.searched(), READ_LIMIT, 0));
            reader.take(page);
        } while (reader.searched() < page.endOffset() && !page.entries().isEmpty());
        Snapshot newest = reader.newest()
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.LOG_UNAVAILABLE, "the log holds neither its first entry nor a complete snapshot"));
        state.restore(newest);
    }

    /**
     * Appends a record, and repeats the append with the same sequence number until it is answered or times out.
     *
     * @throws CranberrygaugeException If the append timed out; the record may nevertheless be in the log.
     */
    public void append(LogRecord record) throws CranberrygaugeException {
        sequence++;
        String payload = LogCodec.write(new LogEntry(writer, sequence, List.of(record)));
        long untilMillis = time.monotonicMillis() + timeoutMillis;
        while (true) {
            try {
                await(log.append(payload));
                return;
            } catch (CranberrygaugeException exception) {
                if (time.monotonicMillis() >= untilMillis) {
                    throw exception;
                }
                LockSupport.parkNanos(RETRY_DELAY_NANOS);
            }
        }
    }

    /**
     * Finds the result of a change that has been read.
     *
     * @return The verdict and offset, or empty if the change has not been read.
     */
    public Optional<ApplyResult.ChangeResult> resultOf(String changeId) {
        return changes.stream()
                .filter(change -> change.changeId().equals(changeId) && change.verdict() != Verdict.COPY)
                .findFirst();
    }

    /** Returns the verdicts on all changes that have been read, in the order of the log. */
    public List<ApplyResult.ChangeResult> changes() {
        return List.copyOf(changes);
    }

    /** Returns the history up to the last entry that has been read. */
    public LogHistory history() {
        return history;
    }

    private void apply(PlatformLog.StoredEntry entry) {
        try {
            LogEntry read = LogCodec.read(entry.payload());
            List<ApplyResult> results = state.apply(entry.offset(), entry.appendedAtMillis(), read);
            history.add(entry.offset(), entry.appendedAtMillis(), read, results, state.usage());
            for (ApplyResult result : results) {
                if (result instanceof ApplyResult.ChangeResult change) {
                    changes.add(change);
                }
            }
        } catch (CranberrygaugeException exception) {
            state.skip(entry.offset());
        }
    }

    /** Waits for the answer to a call, at most until it times out. */
    private <T> T await(CompletionStage<T> stage) throws CranberrygaugeException {
        try {
            return stage.toCompletableFuture().get(callTimeoutMillis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new CranberrygaugeException(ErrorCode.LOG_UNAVAILABLE, "interrupted", exception);
        } catch (ExecutionException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.LOG_UNAVAILABLE, "the log does not answer: " + exception.getMessage(), exception);
        } catch (TimeoutException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.LOG_UNAVAILABLE,
                    "the log does not answer within " + callTimeoutMillis + " ms",
                    exception);
        }
    }
}
