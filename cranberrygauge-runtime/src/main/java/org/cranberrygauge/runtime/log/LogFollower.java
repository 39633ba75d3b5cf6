package org.cranberrygauge.runtime.log;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.decision.snapshot.Snapshot;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.blackboard.LogDerivedState;
import org.cranberrygauge.runtime.blackboard.LogPosition;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Reads the log, applies it to the state machines and publishes the resulting state.
 *
 * <p>Invariants: entries are applied in order, each exactly once; if the log no longer retains the next entry, the
 * state is restored from the newest snapshot; the freshness time is taken before the read that reached the end of the
 * log. All work is done on one Vert.x context.
 */
public final class LogFollower {

    /** The largest number of entries in one read. */
    private static final int READ_LIMIT = 500;

    /** How long a read at the end of the log waits for new entries in milliseconds. */
    private static final long WAIT_MILLIS = 500;

    /** The delay before a failed read is retried in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The number of most recent entries that are retained for peers. */
    private static final int MAX_RETAINED_ENTRIES = 2_000;

    private final Vertx vertx;

    private final Context context;

    private final PlatformLog log;

    private final Blackboard blackboard;

    private final TimeSource time;

    private final EventLog events;

    /** The state machines; used on the context, except for the parts that state otherwise. */
    private final LogState state = new LogState();

    private final List<Consumer<ApplyResult>> listeners = new CopyOnWriteArrayList<>();

    /** The most recent entries, retained for peers; guarded by itself. */
    private final Deque<PlatformLog.StoredEntry> retained = new ArrayDeque<>();

    private KeyIndex keys = KeyIndex.empty();

    /** Whether a missing snapshot was reported, so that it is reported once only until one is found. */
    private boolean missingSnapshotReported;

    private volatile boolean running = true;

    public LogFollower(Vertx vertx, PlatformLog log, Blackboard blackboard, TimeSource time, EventLog events) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.log = log;
        this.blackboard = blackboard;
        this.time = time;
        this.events = events;
    }

    /** Adds a listener, which is notified on the context of the follower. */
    public void addListener(Consumer<ApplyResult> listener) {
        listeners.add(listener);
    }

    /** Starts following the log. */
    public void start() {
        context.runOnContext(ignored -> readOnce());
    }

    /** Stops following the log. */
    public void stop() {
        running = false;
    }

    /** Returns the state machines, which change on the context of the follower. */
    public LogState state() {
        return state;
    }

    /** Runs an action on the context of the follower, where the state machines may be read. */
    public void onContext(Consumer<LogState> action) {
        context.runOnContext(ignored -> action.accept(state));
    }

    /** Applies entries received from a peer. */
    public void offer(List<PlatformLog.StoredEntry> entries) {
        context.runOnContext(ignored -> applyAll(entries));
    }

    /**
     * Returns the retained entries after an offset, without a gap.
     *
     * @return The entries; empty if the entry after the offset is no longer retained.
     */
    public List<PlatformLog.StoredEntry> retainedAfter(long afterOffset, int limit) {
        synchronized (retained) {
            if (retained.isEmpty() || retained.peekFirst().offset() > afterOffset + 1) {
                return List.of();
            }
            return retained.stream()
                    .filter(entry -> entry.offset() > afterOffset)
                    .limit(limit)
                    .toList();
        }
    }

    private void readOnce() {
        if (!running) {
            return;
        }
        long requestedAtMillis = time.monotonicMillis();
        log.read(state.offset(), READ_LIMIT, WAIT_MILLIS)
                .whenComplete((page, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        runLater(this::readOnce);
                        return;
                    }
                    handlePage(page, requestedAtMillis);
                }));
    }

    /**
     * Applies a page and continues reading, or restores a snapshot if needed entries are no longer retained.
     *
     * @param requestedAtMillis The monotonic time before the read in milliseconds.
     */
    private void handlePage(PlatformLog.Page page, long requestedAtMillis) {
        boolean truncated = page.firstOffset() == 0 && page.endOffset() > state.offset();
        if (truncated || page.firstOffset() > state.offset() + 1) {
            recover(new SnapshotReader());
            return;
        }
        applyAll(page.entries());
        if (state.offset() >= page.endOffset()) {
            blackboard.publish(new LogPosition(state.offset(), requestedAtMillis));
        }
        readOnce();
    }

    /** Searches the retained part of the log for a snapshot. */
    private void recover(SnapshotReader reader) {
        log.read(reader.searched(), READ_LIMIT, 0)
                .whenComplete((page, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        runLater(() -> recover(reader));
                        return;
                    }
                    reader.take(page);
                    if (reader.searched() < page.endOffset() && !page.entries().isEmpty()) {
                        recover(reader);
                        return;
                    }
                    restore(reader, page);
                }));
    }

    /**
     * Restores the newest snapshot found, or starts over after a delay.
     *
     * @param reader The search, which has reached the end of the log.
     * @param page The last page read.
     */
    private void restore(SnapshotReader reader, PlatformLog.Page page) {
        Snapshot newest = reader.newest().orElse(null);
        if (newest == null || !state.restore(newest)) {
            if (!missingSnapshotReported) {
                events.emit(new LogEvents.SnapshotMissing(state.offset(), page.firstOffset()));
            }
            missingSnapshotReported = true;
            runLater(this::readOnce);
            return;
        }
        missingSnapshotReported = false;
        events.emit(new LogEvents.SnapshotRestored(newest.offset()));
        synchronized (retained) {
            retained.clear();
        }
        ConfigurationState restored = state.configuration();
        notifyListeners(new ApplyResult.ChangeResult(
                restored.lastChangeId(),
                restored.lastOperator(),
                restored.current().version(),
                ConfigurationState.Verdict.ACCEPTED));
        publish();
        readOnce();
    }

    /** Runs an action after the retry delay. */
    private void runLater(Runnable action) {
        vertx.setTimer(RETRY_MILLIS, timer -> context.runOnContext(ignored -> action.run()));
    }

    private void applyAll(List<PlatformLog.StoredEntry> entries) {
        for (PlatformLog.StoredEntry entry : entries) {
            if (entry.offset() == state.offset() + 1) {
                apply(entry);
            }
        }
        if (!entries.isEmpty()) {
            publish();
        }
    }

    private void apply(PlatformLog.StoredEntry entry) {
        retain(entry);
        try {
            List<ApplyResult> results =
                    state.apply(entry.offset(), entry.appendedAtMillis(), LogCodec.read(entry.payload()));
            results.forEach(this::notifyListeners);
        } catch (CranberrygaugeException exception) {
            state.skip(entry.offset());
            events.emit(new LogEvents.EntryUnreadable(entry.offset(), exception.getMessage()));
        }
    }

    private void notifyListeners(ApplyResult result) {
        if (result instanceof ApplyResult.ChangeResult change) {
            if (change.verdict() == ConfigurationState.Verdict.ACCEPTED) {
                keys = KeyIndex.of(state.configuration().current().configuration());
                publish();
            }
            events.emit(new LogEvents.ConfigurationJudged(
                    change.offset(), change.changeId(), change.operator(), change.verdict()));
        }
        listeners.forEach(listener -> listener.accept(result));
    }

    private void publish() {
        blackboard.publish(
                new LogDerivedState(state.configuration(), keys, state.lease(), state.members(), state.drains()));
        blackboard.publish(new LogPosition(state.offset(), blackboard.position().endReadAtMillis()));
    }

    private void retain(PlatformLog.StoredEntry entry) {
        synchronized (retained) {
            retained.addLast(entry);
            if (retained.size() > MAX_RETAINED_ENTRIES) {
                retained.removeFirst();
            }
        }
    }
}
