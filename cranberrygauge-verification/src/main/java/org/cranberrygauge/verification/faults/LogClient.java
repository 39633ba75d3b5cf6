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
 * The log client of one process, as in the programs: it appends one entry at a time and retries with the same sequence
 * number until it is acknowledged.
 *
 * <p>Not thread-safe.
 */
final class LogClient {

    /** The interval between two reads. */
    private static final long POLL_MILLIS = 50;

    /** The time after which an unacknowledged append is retried. */
    private static final long TIMEOUT_MILLIS = 500;

    private final SimulationContext context;

    private final SimulatedProcess process;

    /** Receives the results of applied records. */
    private final Consumer<ApplyResult> listener;

    /** Runs each read that finds new entries. */
    private Consumer<Runnable> readHook = Runnable::run;

    private final LogState state = new LogState();

    private final Deque<LogRecord> queue = new ArrayDeque<>();

    private long sequence;

    private boolean appendInFlight;

    /** The start time of the last read that reached the end of the log. */
    private long endReadAtMillis = Long.MIN_VALUE / 2;

    LogClient(SimulationContext context, SimulatedProcess process, Consumer<ApplyResult> listener) {
        this.context = context;
        this.process = process;
        this.listener = listener;
        process.run(context.randomMillis(POLL_MILLIS), () -> process.every(POLL_MILLIS, this::poll));
    }

    /** Sets a hook that runs each read that finds new entries. */
    void readHook(Consumer<Runnable> hook) {
        readHook = hook;
    }

    /** Tells whether no record is queued or in flight. */
    boolean isIdle() {
        return !appendInFlight && queue.isEmpty();
    }

    LogState state() {
        return state;
    }

    /** Returns the time in milliseconds at which this process last knew the whole log. */
    long endReadAtMillis() {
        return endReadAtMillis;
    }

    /** Appends a record, retrying without limit. */
    void append(LogRecord record) {
        queue.addLast(record);
        sendNext();
    }

    /** Takes over what a peer has read of the log. */
    void readFrom(LogClient peer) {
        applyThrough(peer.state.offset());
        if (state.offset() >= peer.state.offset()) {
            endReadAtMillis = Math.max(endReadAtMillis, peer.endReadAtMillis);
        }
    }

    /** Reads the log, by way of the hook if there are new entries. */
    private void poll() {
        if (context.log().endOffset() > state.offset()) {
            readHook.accept(this::read);
        } else {
            read();
        }
    }

    /** Reads to the end of the log if it can be reached. */
    private void read() {
        if (process.isPartitioned() || context.log().isDown()) {
            return;
        }
        long readStartMillis = context.now();
        applyThrough(context.log().endOffset());
        endReadAtMillis = readStartMillis;
    }

    private void applyThrough(long offset) {
        while (state.offset() < offset && process.runs()) {
            long next = state.offset() + 1;
            FakeLog.Stored stored = context.log().entry(next);
            state.apply(next, stored.appendedAtMillis(), stored.entry()).forEach(listener);
        }
    }

    /** Sends the next record unless an append is in flight. */
    private void sendNext() {
        if (appendInFlight || queue.isEmpty()) {
            return;
        }
        appendInFlight = true;
        sequence++;
        send(new LogEntry(process.name(), sequence, List.of(queue.removeFirst())));
    }

    /** Sends an entry until it is acknowledged. */
    private void send(LogEntry entry) {
        context.call(
                process,
                () -> context.log().isDown() ? null : context.log().append(entry),
                offset -> {
                    appendInFlight = false;
                    sendNext();
                },
                () -> send(entry),
                TIMEOUT_MILLIS);
    }
}
