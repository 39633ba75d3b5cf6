package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * Counts the usage of one gateway incarnation.
 *
 * <p>Invariants: totals never decrease; each delta carries totals since the start, so the next delta makes up for a
 * lost or repeated one; usage counted while a delta is being taken is either in that delta or makes the next one due.
 * Any thread may count; one thread takes and confirms deltas.
 */
public final class UsageCounter {

    private final String gateway;

    /** The totals since the start. */
    private final Map<UsageKey, UsageFigures> totals = new ConcurrentHashMap<>();

    /** The number of changes since the start. */
    private final AtomicLong changes = new AtomicLong();

    /** The number of changes covered by the last delta, or -1 if it must be repeated. */
    private volatile long deltaChanges;

    /** The totals known to be in the log; replaced as a whole. */
    private volatile Map<UsageKey, UsageFigures> logged = Map.of();

    /** The sequence number of the last delta. */
    private long sequence;

    public UsageCounter(String gateway) {
        this.gateway = gateway;
    }

    /** Adds usage to the totals of a customer and class. */
    public void count(UsageKey key, UsageFigures figures) {
        totals.merge(key, figures, UsageFigures::plus);
        changes.incrementAndGet();
    }

    /** Returns whether usage was counted since the last delta, so that a new one is due. */
    public boolean isDirty() {
        return changes.get() != deltaChanges;
    }

    /** Takes the next delta, which holds the totals of each key that changed since the last confirmed delta. */
    public UsageDelta next() {
        deltaChanges = changes.get();
        sequence++;
        return new UsageDelta(gateway, sequence, unconfirmed());
    }

    /** Returns the totals of each key that are not known to be in the log. */
    public Map<UsageKey, UsageFigures> unconfirmed() {
        Map<UsageKey, UsageFigures> alreadyLogged = logged;
        Map<UsageKey, UsageFigures> changed = new HashMap<>(Map.copyOf(totals));
        changed.entrySet().removeIf(entry -> entry.getValue().equals(alreadyLogged.get(entry.getKey())));
        return changed;
    }

    /** Records that a delta is in the log. */
    public void confirm(UsageDelta delta) {
        Map<UsageKey, UsageFigures> merged = new HashMap<>(logged);
        delta.totals().forEach((key, figures) -> merged.merge(key, figures, UsageFigures::maximum));
        logged = Map.copyOf(merged);
    }

    /** Records that the append of a delta may have failed, so that the next delta is due at once. */
    public void fail() {
        deltaChanges = -1;
    }

    /** Returns the totals since the start. */
    public Map<UsageKey, UsageFigures> totals() {
        return Map.copyOf(totals);
    }
}
