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
 * <p>Invariants: the totals never fall; each delta carries the totals since the start, so that a lost or repeated delta is
 * healed by the next; what is counted while a delta is taken is in this delta or makes the next one due. Any thread counts;
 * one thread takes deltas and confirms them.
 */
public final class UsageCounter {

    /** The incarnation of the gateway. */
    private final String gateway;

    /** The totals since the start. */
    private final Map<UsageKey, UsageFigures> totals = new ConcurrentHashMap<>();

    /** The number of changes since the start. */
    private final AtomicLong changes = new AtomicLong();

    /** The number of changes that the last delta covers. */
    private volatile long coveredChanges;

    /** The totals that stand in the log, replaced whole. */
    private volatile Map<UsageKey, UsageFigures> covered = Map.of();

    /** The sequence number of the last delta. */
    private long sequence;

    /**
     * Creates a counter.
     *
     * @param gateway The incarnation of the gateway.
     */
    public UsageCounter(String gateway) {
        this.gateway = gateway;
    }

    /**
     * Counts usage.
     *
     * @param key What it is counted by.
     * @param figures The usage.
     */
    public void count(UsageKey key, UsageFigures figures) {
        totals.merge(key, figures, UsageFigures::plus);
        changes.incrementAndGet();
    }

    /**
     * Tells whether anything was counted since the last delta.
     *
     * @return Whether a delta is due.
     */
    public boolean isDirty() {
        return changes.get() != coveredChanges;
    }

    /**
     * Takes the next delta, which holds the totals of each key that changed since the last one that was confirmed.
     *
     * @return The delta.
     */
    public UsageDelta next() {
        coveredChanges = changes.get();
        sequence++;
        return new UsageDelta(gateway, sequence, unconfirmed());
    }

    /**
     * Returns the totals of each key that are not known to stand in the log.
     *
     * @return The totals.
     */
    public Map<UsageKey, UsageFigures> unconfirmed() {
        Map<UsageKey, UsageFigures> confirmed = covered;
        Map<UsageKey, UsageFigures> changed = new HashMap<>(Map.copyOf(totals));
        changed.entrySet().removeIf(entry -> entry.getValue().equals(confirmed.get(entry.getKey())));
        return changed;
    }

    /**
     * Notes that a delta stands in the log.
     *
     * @param delta The delta.
     */
    public void confirm(UsageDelta delta) {
        Map<UsageKey, UsageFigures> merged = new HashMap<>(covered);
        delta.totals().forEach((key, figures) -> merged.merge(key, figures, UsageFigures::maximum));
        covered = Map.copyOf(merged);
    }

    /** Notes that a delta may not stand in the log, so that the next one is due at once. */
    public void fail() {
        coveredChanges = -1;
    }

    /**
     * Returns the totals since the start.
     *
     * @return The totals.
     */
    public Map<UsageKey, UsageFigures> totals() {
        return Map.copyOf(totals);
    }
}
