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
     * @return The offset, or a failure after which the entry may or may not be in the log.
     */
    CompletionStage<Long> append(String payload);

    /**
     * Reads entries after an offset.
     *
     * @param afterOffset The offset after which to read; 0 for the beginning.
     * @param limit The largest number of entries.
     * @param waitMillis How long to wait for the first entry in milliseconds.
     */
    CompletionStage<Page> read(long afterOffset, int limit, long waitMillis);

    /**
     * A page of the log.
     *
     * @param firstOffset The offset of the oldest entry that is still retained; 0 if the log is empty.
     * @param endOffset The offset of the newest entry; 0 if the log is empty.
     * @param entries The entries, in the order of their offsets.
     */
    record Page(long firstOffset, long endOffset, List<StoredEntry> entries) {

        public Page {
            entries = List.copyOf(entries);
        }
    }

    /**
     * An entry as stored in the log.
     *
     * @param offset The offset, which increases by one for each entry, starting at 1.
     * @param appendedAtMillis The time of the append in milliseconds since the epoch.
     * @param payload The serialized entry.
     */
    record StoredEntry(long offset, long appendedAtMillis, String payload) {}
}
