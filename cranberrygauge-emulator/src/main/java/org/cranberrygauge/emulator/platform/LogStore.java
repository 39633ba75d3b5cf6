package org.cranberrygauge.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.protocol.platform.PlatformLog.Page;
import org.cranberrygauge.protocol.platform.PlatformLog.StoredEntry;

/**
 * The entries of the log.
 *
 * <p>Invariants: offsets grow by one from 1; entries older than the retention are dropped from the front. Used by one
 * thread.
 */
public final class LogStore {

    /** The entries that are kept. */
    private final List<StoredEntry> entries = new ArrayList<>();

    /** The time for which entries are kept in milliseconds. */
    private final long retentionMillis;

    /** The offset of the newest entry. */
    private long endOffset;

    /**
     * Creates an empty log.
     *
     * @param retentionMillis The time for which entries are kept in milliseconds.
     */
    public LogStore(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Appends an entry.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @param payload The entry.
     * @return The offset.
     */
    public long append(long nowMillis, String payload) {
        endOffset++;
        entries.add(new StoredEntry(endOffset, nowMillis, payload));
        return endOffset;
    }

    /**
     * Drops entries older than the retention.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     */
    public void expire(long nowMillis) {
        entries.removeIf(entry -> entry.appendedAtMillis() + retentionMillis < nowMillis);
    }

    /**
     * Reads entries.
     *
     * @param afterOffset The offset after which to read.
     * @param limit The highest number of entries.
     * @return The entries.
     */
    public Page read(long afterOffset, int limit) {
        long first = endOffset - entries.size() + 1;
        int from = (int) Math.max(0, Math.min(entries.size(), afterOffset - first + 1));
        int to = Math.min(entries.size(), from + limit);
        return new Page(entries.isEmpty() ? 0 : first, endOffset, entries.subList(from, to));
    }

    /**
     * Returns the offset of the newest entry.
     *
     * @return The offset; 0 before any.
     */
    public long endOffset() {
        return endOffset;
    }
}
