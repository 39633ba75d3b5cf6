package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;

/**
 * The append-only log of a scenario, in memory.
 *
 * <p>Not thread-safe.
 */
final class FakeLog {

    private final VirtualScheduler scheduler;

    private final List<Stored> entries = new ArrayList<>();

    private long downUntilMillis;

    FakeLog(VirtualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Begins an outage of the given length. */
    void fail(long millis) {
        downUntilMillis = scheduler.now() + millis;
        scheduler.trace("log becomes unavailable");
    }

    boolean isDown() {
        return scheduler.now() < downUntilMillis;
    }

    long append(LogEntry entry) {
        entries.add(new Stored(scheduler.now(), entry));
        scheduler.trace(
                "log " + entries.size() + " " + entry.writer() + "#" + entry.sequence() + " " + entry.records());
        return entries.size();
    }

    /** Returns the offset of the newest entry; 0 if there is none. */
    long endOffset() {
        return entries.size();
    }

    /**
     * Returns the time in milliseconds at which the first record of a type was appended; the largest long if there is
     * none.
     */
    long timeOf(Class<? extends LogRecord> type) {
        return entries.stream()
                .filter(stored -> stored.entry().records().stream().anyMatch(type::isInstance))
                .mapToLong(Stored::appendedAtMillis)
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    Stored entry(long offset) {
        return entries.get((int) offset - 1);
    }

    /** An appended entry with its time. */
    record Stored(long appendedAtMillis, LogEntry entry) {}
}
