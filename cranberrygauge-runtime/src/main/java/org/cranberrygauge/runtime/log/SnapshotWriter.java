package org.cranberrygauge.runtime.log;

import io.vertx.core.Future;
import java.util.List;
import java.util.function.Function;
import org.cranberrygauge.decision.snapshot.SnapshotParts;
import org.cranberrygauge.decision.snapshot.SnapshotSchedule;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.SnapshotPart;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.event.EventLog;

/**
 * Appends snapshots of what follows from the log, for the lease holder.
 *
 * <p>Invariants: one snapshot is under way at a time, and its parts are appended one after another so that they leave room
 * for other records. A snapshot is right whoever writes it, so that two holders at once do no harm. Used on the context of
 * the log follower.
 */
public final class SnapshotWriter {

    /** The largest number of characters in a part. */
    private static final int PART_CHARACTERS = 32_768;

    /** The incarnation of this process. */
    private final String incarnation;

    /** Decides when a snapshot is due. */
    private final SnapshotSchedule schedule;

    /** Appends a record. */
    private final Function<LogRecord, Future<Long>> append;

    /** The event log. */
    private final EventLog events;

    /** The snapshot under way. */
    private Future<Long> underWay = Future.succeededFuture();

    /** The offset up to which the last snapshot that was begun holds the log. */
    private long begun;

    /**
     * Creates a writer.
     *
     * @param incarnation The incarnation of this process.
     * @param schedule Decides when a snapshot is due.
     * @param append Appends a record.
     * @param events The event log.
     */
    public SnapshotWriter(
            String incarnation, SnapshotSchedule schedule, Function<LogRecord, Future<Long>> append, EventLog events) {
        this.incarnation = incarnation;
        this.schedule = schedule;
        this.append = append;
        this.events = events;
    }

    /**
     * Writes a snapshot if one is due and the last one was read back or failed.
     *
     * @param state The state machines.
     */
    public void tick(LogState state) {
        boolean readBack = underWay.failed() || state.snapshot().throughOffset() >= begun;
        boolean due = schedule.isDue(state.logTimeMillis(), state.offset(), state.snapshot());
        if (!underWay.isComplete() || !readBack || !due) {
            return;
        }
        begun = state.offset();
        String text = JsonCodec.write(state.export());
        List<SnapshotPart> parts = SnapshotParts.cut(incarnation + "." + begun, begun, text, PART_CHARACTERS);
        Future<Long> appended = Future.succeededFuture();
        for (SnapshotPart part : parts) {
            appended = appended.compose(offset -> append.apply(part));
        }
        underWay = appended;
        events.emit(new LogEvents.SnapshotBegun(begun, parts.size(), text.length()));
    }
}
