package org.cranberrygauge.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.protocol.platform.PlatformLog.Page;
import org.cranberrygauge.protocol.platform.PlatformLog.StoredEntry;

/**
 * The entries of the emulated log.
 *
 * <p>Invariants: offsets start at 1 and grow by one; entries older than the retention time are removed from the front.
 * Used by one thread.
 */
public final class LogStore {

    private final List<StoredEntry> entries = new ArrayList<>();

    private final long retentionMillis;

    private long endOffset;

    public LogStore(long retentionMillis) {
        this.retentionMillis = retentionMillis;
    }

    /**
     * Appends an entry and returns its offset.
     *
     * @param nowMillis The current time in milliseconds since the epoch.
     */
    public long append(long nowMillis, String payload) {
        endOffset++;
        entries.add(new StoredEntry(endOffset, nowMillis, payload));
        return endOffset;
    }

    /**
     * Removes the entries that are older than the retention time.
     *
     * @param nowMillis The current time in milliseconds since the epoch.
     */
    public void expire(long nowMillis) {
        entries.removeIf(entry -> entry.appendedAtMillis() + retentionMillis < nowMillis);
    }

    /**
     * Reads the entries after an offset.
     *
     * @param limit The maximum number of entries.
     */
    public Page read(long afterOffset, int limit) {
        long first = endOffset - entries.size() + 1;
        int from = (int) Math.max(0, Math.min(entries.size(), afterOffset - first + 1));
        int to = Math.min(entries.size(), from + limit);
        return new Page(entries.isEmpty() ? 0 : first, endOffset, entries.subList(from, to));
    }

    /** Returns the offset of the newest entry; 0 if none was appended. */
    public long endOffset() {
        return endOffset;
    }
}
