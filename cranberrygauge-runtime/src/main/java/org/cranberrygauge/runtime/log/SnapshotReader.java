package org.cranberrygauge.runtime.log;

import java.util.Optional;
import org.cranberrygauge.decision.snapshot.Snapshot;
import org.cranberrygauge.decision.snapshot.SnapshotParts;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.PlatformLog;

/**
 * Finds the newest whole snapshot in what the log still keeps, for a reader that needs entries the log no longer has.
 *
 * <p>Invariants: a snapshot is taken only if the log still keeps all entries after it. Used by one thread.
 */
public final class SnapshotReader {

    /** The parts of snapshots read so far. */
    private final SnapshotParts parts = new SnapshotParts();

    /** The offset up to which the log was searched. */
    private long searched;

    /** The newest whole snapshot, or null. */
    private Snapshot newest;

    /**
     * Searches a part of the log.
     *
     * @param page The part, read after the offset that was searched last.
     */
    public void take(PlatformLog.Page page) {
        searched = Math.max(searched, page.firstOffset() - 1);
        if (newest != null && newest.offset() + 1 < page.firstOffset()) {
            newest = null;
        }
        for (PlatformLog.StoredEntry entry : page.entries()) {
            searched = entry.offset();
            takeParts(entry, page.firstOffset());
        }
    }

    /**
     * Returns the offset after which to read on.
     *
     * @return The offset.
     */
    public long searched() {
        return searched;
    }

    /**
     * Returns the newest whole snapshot found.
     *
     * @return The snapshot, or nothing.
     */
    public Optional<Snapshot> newest() {
        return Optional.ofNullable(newest);
    }

    /**
     * Takes the parts of snapshots in an entry.
     *
     * @param entry The entry.
     * @param firstOffset The offset of the oldest entry that the log keeps.
     */
    private void takeParts(PlatformLog.StoredEntry entry, long firstOffset) {
        try {
            for (LogRecord record : LogCodec.read(entry.payload()).records()) {
                if (record instanceof LogRecord.SnapshotPart part && part.throughOffset() + 1 >= firstOffset) {
                    takeText(parts.take(part));
                }
            }
        } catch (CranberrygaugeException exception) {
            // An entry that no reader can read changes nothing, and a text that is no snapshot is not one to start
            // from.
            return;
        }
    }

    /**
     * Takes the text of a whole snapshot.
     *
     * @param text The text, or nothing.
     * @throws CranberrygaugeException If the text is no snapshot.
     */
    private void takeText(Optional<String> text) throws CranberrygaugeException {
        if (text.isEmpty()) {
            return;
        }
        Snapshot read = JsonCodec.read(text.get(), Snapshot.class);
        if (newest == null || read.offset() > newest.offset()) {
            newest = read;
        }
    }
}
