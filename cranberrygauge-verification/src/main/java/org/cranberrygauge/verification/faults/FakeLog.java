package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;

/**
 * The append-only log of a scenario.
 *
 * <p>Used by one thread.
 */
final class FakeLog {

    /** The clock. */
    private final VirtualScheduler timeline;

    /** The entries. */
    private final List<Stored> entries = new ArrayList<>();

    /** The end of the outage in milliseconds. */
    private long downUntilMillis;

    /**
     * Creates an empty log.
     *
     * @param timeline The clock.
     */
    FakeLog(VirtualScheduler timeline) {
        this.timeline = timeline;
    }

    /**
     * Begins an outage.
     *
     * @param millis Its length in milliseconds.
     */
    void fail(long millis) {
        downUntilMillis = timeline.now() + millis;
        timeline.note("log fails");
    }

    /**
     * Tells whether the log is down.
     *
     * @return Whether it is.
     */
    boolean isDown() {
        return timeline.now() < downUntilMillis;
    }

    /**
     * Appends an entry.
     *
     * @param entry The entry.
     * @return The offset.
     */
    long append(LogEntry entry) {
        entries.add(new Stored(timeline.now(), entry));
        timeline.note("log " + entries.size() + " " + entry.writer() + "#" + entry.sequence() + " " + entry.records());
        return entries.size();
    }

    /**
     * Returns the offset of the newest entry.
     *
     * @return The offset; 0 before any.
     */
    long endOffset() {
        return entries.size();
    }

    /**
     * Returns the time at which the first record of a type was appended.
     *
     * @param type The type.
     * @return The time in milliseconds, or the largest time if there is none.
     */
    long timeOf(Class<? extends LogRecord> type) {
        return entries.stream()
                .filter(stored -> stored.entry().records().stream().anyMatch(type::isInstance))
                .mapToLong(Stored::appendedAtMillis)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Returns an entry.
     *
     * @param offset The offset.
     * @return The entry.
     */
    Stored entry(long offset) {
        return entries.get((int) offset - 1);
    }

    /**
     * An entry with its time.
     *
     * @param appendedAtMillis The time of the append in milliseconds.
     * @param entry The entry.
     */
    record Stored(long appendedAtMillis, LogEntry entry) {}
}
