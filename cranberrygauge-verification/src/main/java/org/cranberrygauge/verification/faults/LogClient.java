package org.cranberrygauge.verification.faults;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;

/**
 * Reads and writes the log for one process, as the programs do: entries one at a time, sent again with the same sequence
 * number until their answer arrives.
 *
 * <p>Used by one thread.
 */
final class LogClient {

    /** The time between two reads in milliseconds. */
    private static final long POLL_MILLIS = 50;

    /** The time after which an append without an answer is sent again in milliseconds. */
    private static final long TIMEOUT_MILLIS = 500;

    /** The world. */
    private final SimulationContext world;

    /** The process. */
    private final SimulatedProcess process;

    /** Takes what became of records. */
    private final Consumer<ApplyResult> listener;

    /** What happens around a read that finds new entries. */
    private Consumer<Runnable> beforeRead = Runnable::run;

    /** The state machines. */
    private final LogState state = new LogState();

    /** The records that wait. */
    private final Deque<LogRecord> queue = new ArrayDeque<>();

    /** The sequence number of the last entry. */
    private long sequence;

    /** Whether an entry is under way. */
    private boolean busy;

    /** The time before the read that last reached the log's end in milliseconds. */
    private long endReadAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a client and lets it read.
     *
     * @param world The world.
     * @param process The process.
     * @param listener Takes what became of records.
     */
    LogClient(SimulationContext world, SimulatedProcess process, Consumer<ApplyResult> listener) {
        this.world = world;
        this.process = process;
        this.listener = listener;
        process.run(world.draw(POLL_MILLIS), () -> process.every(POLL_MILLIS, this::poll));
    }

    /**
     * Sets what happens around a read that finds new entries.
     *
     * @param hook Gets the read and runs it.
     */
    void beforeRead(Consumer<Runnable> hook) {
        beforeRead = hook;
    }

    /**
     * Tells whether nothing waits or is under way.
     *
     * @return Whether the writer is idle.
     */
    boolean isIdle() {
        return !busy && queue.isEmpty();
    }

    /**
     * Returns the state machines.
     *
     * @return The state machines.
     */
    LogState state() {
        return state;
    }

    /**
     * Returns the time at which this process last knew all that the log held.
     *
     * @return The time in milliseconds.
     */
    long endReadAtMillis() {
        return endReadAtMillis;
    }

    /**
     * Appends a record, however long it takes.
     *
     * @param record The record.
     */
    void append(LogRecord record) {
        queue.addLast(record);
        sendNext();
    }

    /**
     * Takes over what a peer read of the log.
     *
     * @param peer The peer.
     */
    void readFrom(LogClient peer) {
        applyThrough(peer.state.offset());
        if (state.offset() >= peer.state.offset()) {
            endReadAtMillis = Math.max(endReadAtMillis, peer.endReadAtMillis);
        }
    }

    /** Reads, around which the hook runs if there is something new. */
    private void poll() {
        if (world.log().endOffset() > state.offset()) {
            beforeRead.accept(this::read);
        } else {
            read();
        }
    }

    /** Reads to the log's end, if it can be reached. */
    private void read() {
        if (process.isCut() || world.log().isDown()) {
            return;
        }
        long askedAtMillis = world.now();
        applyThrough(world.log().endOffset());
        endReadAtMillis = askedAtMillis;
    }

    /**
     * Applies entries.
     *
     * @param offset The offset of the last.
     */
    private void applyThrough(long offset) {
        while (state.offset() < offset && process.runs()) {
            long next = state.offset() + 1;
            FakeLog.Stored stored = world.log().entry(next);
            state.apply(next, stored.appendedAtMillis(), stored.entry()).forEach(listener);
        }
    }

    /** Sends the next entry unless one is under way. */
    private void sendNext() {
        if (busy || queue.isEmpty()) {
            return;
        }
        busy = true;
        sequence++;
        send(new LogEntry(process.name(), sequence, List.of(queue.removeFirst())));
    }

    /**
     * Sends an entry until its answer arrives.
     *
     * @param entry The entry.
     */
    private void send(LogEntry entry) {
        world.call(
                process,
                () -> world.log().isDown() ? null : world.log().append(entry),
                offset -> {
                    busy = false;
                    sendNext();
                },
                () -> send(entry),
                TIMEOUT_MILLIS);
    }
}
