package org.cranberrygauge.model.record;

import java.util.List;

/**
 * An entry of the log, which holds records that are appended together.
 *
 * @param writer The incarnation that wrote the entry.
 * @param sequence The sequence number of the writer, by which duplicates are recognized.
 */
public record LogEntry(String writer, long sequence, List<LogRecord> records) {

    public LogEntry {
        records = List.copyOf(records);
    }
}
