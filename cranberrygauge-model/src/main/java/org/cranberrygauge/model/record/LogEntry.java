package org.cranberrygauge.model.record;

import java.util.List;

/**
 * One appended entry with the records that share it.
 *
 * @param writer The incarnation that wrote it.
 * @param sequence The sequence number of the writer, by which copies are recognised.
 * @param records The records.
 */
public record LogEntry(String writer, long sequence, List<LogRecord> records) {

    /** Copies the list. */
    public LogEntry {
        records = List.copyOf(records);
    }
}
