package org.cranberrygauge.protocol.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The append-only log of the platform.
 *
 * <p>Implementations are safe for use by several threads. A failed append may have taken effect.
 */
public interface PlatformLog {

    /**
     * Appends an entry.
     *
     * @param payload The entry.
     * @return The offset, or a failure after which the entry may or may not stand in the log.
     */
    CompletionStage<Long> append(String payload);

    /**
     * Reads entries after an offset.
     *
     * @param afterOffset The offset after which to read; 0 for the beginning.
     * @param limit The highest number of entries.
     * @param waitMillis The time to wait for the first entry in milliseconds.
     * @return The entries, or a failure.
     */
    CompletionStage<Page> read(long afterOffset, int limit, long waitMillis);

    /**
     * A part of the log.
     *
     * @param firstOffset The offset of the oldest entry that is still kept; 0 if the log is empty.
     * @param endOffset The offset of the newest entry; 0 if the log is empty.
     * @param entries The entries.
     */
    record Page(long firstOffset, long endOffset, List<StoredEntry> entries) {

        /** Copies the list. */
        public Page {
            entries = List.copyOf(entries);
        }
    }

    /**
     * An entry as the log keeps it.
     *
     * @param offset The offset, growing by one, from 1.
     * @param appendedAtMillis The time of the append in milliseconds of the epoch.
     * @param payload The entry.
     */
    record StoredEntry(long offset, long appendedAtMillis, String payload) {}
}
