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
 * Appends snapshots of the state derived from the log, on behalf of the lease holder.
 *
 * <p>Invariants: one snapshot is in flight at a time, and its parts are appended one after another so that other
 * records are not delayed. A snapshot is valid whoever writes it, so that two concurrent lease holders do no harm. Used
 * on the context of the log follower.
 */
public final class SnapshotWriter {

    /** The largest number of characters in one part. */
    private static final int MAX_PART_CHARACTERS = 32_768;

    private final String incarnation;

    private final SnapshotSchedule schedule;

    private final Function<LogRecord, Future<Long>> append;

    private final EventLog events;

    private Future<Long> inFlight = Future.succeededFuture();

    /** The offset covered by the most recently started snapshot. */
    private long startedOffset;

    public SnapshotWriter(
            String incarnation, SnapshotSchedule schedule, Function<LogRecord, Future<Long>> append, EventLog events) {
        this.incarnation = incarnation;
        this.schedule = schedule;
        this.append = append;
        this.events = events;
    }

    /** Starts a snapshot if one is due and the previous one was read back or failed. */
    public void tick(LogState state) {
        boolean readBack = inFlight.failed() || state.snapshot().throughOffset() >= startedOffset;
        boolean due = schedule.isDue(state.logTimeMillis(), state.offset(), state.snapshot());
        if (!inFlight.isComplete() || !readBack || !due) {
            return;
        }
        startedOffset = state.offset();
        String text = JsonCodec.write(state.export());
        List<SnapshotPart> parts =
                SnapshotParts.split(incarnation + "." + startedOffset, startedOffset, text, MAX_PART_CHARACTERS);
        Future<Long> appended = Future.succeededFuture();
        for (SnapshotPart part : parts) {
            appended = appended.compose(offset -> append.apply(part));
        }
        inFlight = appended;
        events.emit(new LogEvents.SnapshotBegun(startedOffset, parts.size(), text.length()));
    }
}
