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
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.state.LogDerivedState;
import org.cranberrygauge.runtime.state.LogPosition;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Reads the log, advances the state machines and publishes what follows from them.
 *
 * <p>Invariants: entries are applied in order, each once; where the log no longer keeps the next one, the state goes on from
 * the newest snapshot; the time of freshness is taken before the read that reached the
 * log's end. All work happens on one Vert.x context.
 */
public final class LogFollower {

    /** The highest number of entries in one read. */
    private static final int READ_LIMIT = 500;

    /** The time for which a read waits at the log's end in milliseconds. */
    private static final long WAIT_MILLIS = 500;

    /** The time after a failed read before the next in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The number of newest entries that are kept for peers. */
    private static final int KEPT_ENTRIES = 2_000;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The context on which all work happens. */
    private final Context context;

    /** The log. */
    private final PlatformLog log;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The sources of time. */
    private final TimeSource time;

    /** The event log. */
    private final EventLog events;

    /** The state machines; used on the context, but for parts that say otherwise. */
    private final LogState state = new LogState();

    /** Those that wait for effects. */
    private final List<Consumer<ApplyResult>> listeners = new CopyOnWriteArrayList<>();

    /** The newest entries, kept for peers; guarded by itself. */
    private final Deque<PlatformLog.StoredEntry> kept = new ArrayDeque<>();

    /** The index of keys of the configuration in force. */
    private KeyIndex keys = KeyIndex.empty();

    /** Whether it was told that no snapshot was found, and none was since. */
    private boolean missingTold;

    /** Whether following goes on. */
    private volatile boolean running = true;

    /**
     * Creates a follower.
     *
     * @param vertx The Vert.x instance.
     * @param log The log.
     * @param blackboard The blackboard.
     * @param time The sources of time.
     * @param events The event log.
     */
    public LogFollower(Vertx vertx, PlatformLog log, ProcessState blackboard, TimeSource time, EventLog events) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.log = log;
        this.blackboard = blackboard;
        this.time = time;
        this.events = events;
    }

    /**
     * Adds a listener, which is called on the context of the follower.
     *
     * @param listener The listener.
     */
    public void addListener(Consumer<ApplyResult> listener) {
        listeners.add(listener);
    }

    /** Starts to follow the log. */
    public void start() {
        context.runOnContext(ignored -> readOnce());
    }

    /** Stops to follow the log. */
    public void stop() {
        running = false;
    }

    /**
     * Returns the state machines; they change on the context of the follower.
     *
     * @return The state machines.
     */
    public LogState state() {
        return state;
    }

    /**
     * Runs an action on the context of the follower, where the state machines may be read.
     *
     * @param action The action.
     */
    public void onContext(Consumer<LogState> action) {
        context.runOnContext(ignored -> action.accept(state));
    }

    /**
     * Applies entries that a peer passed on.
     *
     * @param entries The entries.
     */
    public void offer(List<PlatformLog.StoredEntry> entries) {
        context.runOnContext(ignored -> applyAll(entries));
    }

    /**
     * Returns the kept entries after an offset, without a gap.
     *
     * @param afterOffset The offset.
     * @param limit The highest number of entries.
     * @return The entries; empty if the entry after the offset is no longer kept.
     */
    public List<PlatformLog.StoredEntry> keptAfter(long afterOffset, int limit) {
        synchronized (kept) {
            if (kept.isEmpty() || kept.peekFirst().offset() > afterOffset + 1) {
                return List.of();
            }
            return kept.stream()
                    .filter(entry -> entry.offset() > afterOffset)
                    .limit(limit)
                    .toList();
        }
    }

    /** Reads once and goes on. */
    private void readOnce() {
        if (!running) {
            return;
        }
        long askedAtMillis = time.monotonicMillis();
        log.read(state.offset(), READ_LIMIT, WAIT_MILLIS)
                .whenComplete((page, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        later(this::readOnce);
                        return;
                    }
                    take(page, askedAtMillis);
                }));
    }

    /**
     * Takes what was read and goes on.
     *
     * @param page What was read.
     * @param askedAtMillis The monotonic time before the read.
     */
    private void take(PlatformLog.Page page, long askedAtMillis) {
        boolean emptied = page.firstOffset() == 0 && page.endOffset() > state.offset();
        if (emptied || page.firstOffset() > state.offset() + 1) {
            recover(new SnapshotReader());
            return;
        }
        applyAll(page.entries());
        if (state.offset() >= page.endOffset()) {
            blackboard.publish(new LogPosition(state.offset(), askedAtMillis));
        }
        readOnce();
    }

    /**
     * Searches the kept part of the log for a snapshot, since entries that are needed are no longer kept.
     *
     * @param reader The search.
     */
    private void recover(SnapshotReader reader) {
        log.read(reader.searched(), READ_LIMIT, 0)
                .whenComplete((page, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        later(() -> recover(reader));
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
     * Goes on from the newest snapshot, or tries again later.
     *
     * @param reader The search that reached the log's end.
     * @param page What was read last.
     */
    private void restore(SnapshotReader reader, PlatformLog.Page page) {
        Snapshot newest = reader.newest().orElse(null);
        if (newest == null || !state.restore(newest)) {
            if (!missingTold) {
                events.emit(new LogEvents.SnapshotMissing(state.offset(), page.firstOffset()));
            }
            missingTold = true;
            later(this::readOnce);
            return;
        }
        missingTold = false;
        events.emit(new LogEvents.SnapshotRestored(newest.offset()));
        synchronized (kept) {
            kept.clear();
        }
        ConfigurationState restored = state.configuration();
        announce(new ApplyResult.ChangeResult(
                restored.lastChangeId(),
                restored.lastOperator(),
                restored.current().version(),
                ConfigurationState.Verdict.ACCEPTED));
        publish();
        readOnce();
    }

    /**
     * Does something after the time between a failed read and the next.
     *
     * @param action What to do.
     */
    private void later(Runnable action) {
        vertx.setTimer(RETRY_MILLIS, timer -> context.runOnContext(ignored -> action.run()));
    }

    /**
     * Applies entries and publishes what follows.
     *
     * @param entries The entries.
     */
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

    /**
     * Applies one entry.
     *
     * @param entry The entry.
     */
    private void apply(PlatformLog.StoredEntry entry) {
        keep(entry);
        try {
            List<ApplyResult> effects =
                    state.apply(entry.offset(), entry.appendedAtMillis(), LogCodec.read(entry.payload()));
            effects.forEach(this::announce);
        } catch (CranberrygaugeException exception) {
            state.skip(entry.offset());
            events.emit(new LogEvents.EntryUnreadable(entry.offset(), exception.getMessage()));
        }
    }

    /**
     * Tells the listeners of an effect.
     *
     * @param effect The effect.
     */
    private void announce(ApplyResult effect) {
        if (effect instanceof ApplyResult.ChangeResult judged) {
            if (judged.verdict() == ConfigurationState.Verdict.ACCEPTED) {
                keys = KeyIndex.of(state.configuration().current().configuration());
                publish();
            }
            events.emit(new LogEvents.ConfigurationJudged(
                    judged.offset(), judged.changeId(), judged.operator(), judged.verdict()));
        }
        listeners.forEach(listener -> listener.accept(effect));
    }

    /** Publishes the sections. */
    private void publish() {
        blackboard.publish(
                new LogDerivedState(state.configuration(), keys, state.lease(), state.members(), state.drains()));
        blackboard.publish(new LogPosition(state.offset(), blackboard.position().endReadAtMillis()));
    }

    /**
     * Keeps an entry for peers.
     *
     * @param entry The entry.
     */
    private void keep(PlatformLog.StoredEntry entry) {
        synchronized (kept) {
            kept.addLast(entry);
            if (kept.size() > KEPT_ENTRIES) {
                kept.removeFirst();
            }
        }
    }
}
