package org.cranberrygauge.protocol.log;

import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Writes and reads log entries.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class LogCodec {

    /** Prevents instances. */
    private LogCodec() {}

    /**
     * Writes an entry.
     *
     * @param entry The entry.
     * @return The payload.
     */
    public static String write(LogEntry entry) {
        return JsonCodec.write(entry);
    }

    /**
     * Reads an entry.
     *
     * @param payload The payload.
     * @return The entry.
     * @throws CranberrygaugeException If the payload is no log entry.
     */
    public static LogEntry read(String payload) throws CranberrygaugeException {
        return JsonCodec.read(payload, LogEntry.class);
    }
}
