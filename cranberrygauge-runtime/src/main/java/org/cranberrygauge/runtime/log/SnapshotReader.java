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
 * Finds the newest complete snapshot in the part of the log that is still retained, for a reader that needs entries the
 * log has dropped.
 *
 * <p>Invariants: a snapshot is used only if the log still retains all entries after it. Used by one thread.
 */
public final class SnapshotReader {

    private final SnapshotParts parts = new SnapshotParts();

    /** The offset up to which the log has been searched. */
    private long searched;

    /** The newest complete snapshot, or null. */
    private Snapshot newest;

    /** Searches a page, which must have been read after the offset returned by {@link #searched()}. */
    public void take(PlatformLog.Page page) {
        searched = Math.max(searched, page.firstOffset() - 1);
        if (newest != null && newest.offset() + 1 < page.firstOffset()) {
            newest = null;
        }
        for (PlatformLog.StoredEntry entry : page.entries()) {
            searched = entry.offset();
            readParts(entry, page.firstOffset());
        }
    }

    /** Returns the offset after which to continue reading. */
    public long searched() {
        return searched;
    }

    /** Returns the newest complete snapshot found, or nothing. */
    public Optional<Snapshot> newest() {
        return Optional.ofNullable(newest);
    }

    private void readParts(PlatformLog.StoredEntry entry, long firstOffset) {
        try {
            for (LogRecord record : LogCodec.read(entry.payload()).records()) {
                if (record instanceof LogRecord.SnapshotPart part && part.throughOffset() + 1 >= firstOffset) {
                    acceptSnapshot(parts.add(part));
                }
            }
        } catch (CranberrygaugeException exception) {
            // An unreadable entry has no effect on any reader, and an invalid snapshot must not be restored.
            return;
        }
    }

    private void acceptSnapshot(Optional<String> text) throws CranberrygaugeException {
        if (text.isEmpty()) {
            return;
        }
        Snapshot read = JsonCodec.read(text.get(), Snapshot.class);
        if (newest == null || read.offset() > newest.offset()) {
            newest = read;
        }
    }
}
