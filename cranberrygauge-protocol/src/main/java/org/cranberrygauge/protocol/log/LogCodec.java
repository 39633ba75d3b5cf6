package org.cranberrygauge.protocol.log;

import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Serializes log entries.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class LogCodec {

    private LogCodec() {}

    public static String write(LogEntry entry) {
        return JsonCodec.write(entry);
    }

    /**
     * Parses an entry.
     *
     * @throws CranberrygaugeException If the payload is not a log entry.
     */
    public static LogEntry read(String payload) throws CranberrygaugeException {
        return JsonCodec.read(payload, LogEntry.class);
    }
}
