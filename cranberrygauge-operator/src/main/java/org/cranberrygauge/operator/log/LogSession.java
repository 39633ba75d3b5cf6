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
 * One operator's view of the log, read on demand.
 *
 * <p>Used by one thread.
 */
public final class LogSession {

    /** The highest number of entries in one read. */
    private static final int READ_LIMIT = 1_000;

    /** The time between two tries in nanoseconds. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The number of tries that fit into the time of an append. */
    private static final long TRIES = 4;

    /** The log. */
    private final PlatformLog log;

    /** The sources of time. */
    private final TimeSource time;

    /** The incarnation that writes. */
    private final String writer;

    /** The time after which an append is given up in milliseconds. */
    private final long timeoutMillis;

    /** The time after which one call is given up in milliseconds. */
    private final long callTimeoutMillis;

    /** The state machines. */
    private final LogState state = new LogState();

    /** What the log tells of the past. */
    private final LogHistory history = new LogHistory();

    /** What became of changes that were read. */
    private final List<ApplyResult.ChangeResult> changes = new ArrayList<>();

    /** The sequence number of the last entry written. */
    private long sequence;

    /**
     * Creates a session.
     *
     * @param log The log.
     * @param time The sources of time.
     * @param writer The incarnation that writes.
     * @param timeoutMillis The time after which an append is given up in milliseconds; a quarter of it for one call.
     */
    public LogSession(PlatformLog log, TimeSource time, String writer, long timeoutMillis) {
        this.log = log;
        this.time = time;
        this.writer = writer;
        this.timeoutMillis = timeoutMillis;
        this.callTimeoutMillis = Math.max(1, timeoutMillis / TRIES);
    }

    /**
     * Reads up to the log's end.
     *
     * @return The state machines.
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

    /**
     * Goes on from the newest snapshot, since the log no longer keeps the entries that are needed.
     *
     * @throws CranberrygaugeException If the log does not answer or holds no snapshot.
     */
    private void restore() throws CranberrygaugeException {
        SnapshotReader reader = new SnapshotReader();
        PlatformLog.Page page;
        do {
            page = await(log.read(reader.searched(), READ_LIMIT, 0));
            reader.take(page);
        } while (reader.searched() < page.endOffset() && !page.entries().isEmpty());
        Snapshot newest = reader.newest()
                .orElseThrow(() -> new CranberrygaugeException(
                        ErrorCode.LOG_UNAVAILABLE, "the log holds neither its beginning nor a whole snapshot"));
        state.restore(newest);
    }

    /**
     * Appends a record, again with the same sequence number while its answer is lost.
     *
     * @param record The record.
     * @throws CranberrygaugeException If the log did not take it in time; it may still stand in the log.
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
                LockSupport.parkNanos(RETRY_NANOS);
            }
        }
    }

    /**
     * Finds what became of a change that was read.
     *
     * @param changeId The identifier of the change.
     * @return The verdict with its offset, or nothing if the change was not read.
     */
    public Optional<ApplyResult.ChangeResult> judgementOf(String changeId) {
        return changes.stream()
                .filter(change -> change.changeId().equals(changeId) && change.verdict() != Verdict.COPY)
                .findFirst();
    }

    /**
     * Returns what became of all changes that were read.
     *
     * @return The changes in the order of the log.
     */
    public List<ApplyResult.ChangeResult> changes() {
        return List.copyOf(changes);
    }

    /**
     * Returns what the log tells of the past.
     *
     * @return The history up to what was read.
     */
    public LogHistory history() {
        return history;
    }

    /**
     * Applies an entry.
     *
     * @param entry The entry.
     */
    private void apply(PlatformLog.StoredEntry entry) {
        try {
            LogEntry read = LogCodec.read(entry.payload());
            List<ApplyResult> effects = state.apply(entry.offset(), entry.appendedAtMillis(), read);
            history.take(entry.offset(), entry.appendedAtMillis(), read, effects, state.usage());
            for (ApplyResult effect : effects) {
                if (effect instanceof ApplyResult.ChangeResult judged) {
                    changes.add(judged);
                }
            }
        } catch (CranberrygaugeException exception) {
            state.skip(entry.offset());
        }
    }

    /**
     * Waits for a call.
     *
     * @param stage The call.
     * @param <T> The type.
     * @return The result.
     * @throws CranberrygaugeException If it failed or took too long.
     */
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
