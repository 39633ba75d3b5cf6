package org.cranberrygauge.decision.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.record.LogRecord.UsageDelta;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The copies of unlogged usage that this process holds for other gateways.
 *
 * <p>Invariants: the figures of a copy never decrease; a copy is dropped once its figures are in the log; a copy is due
 * to be appended when its gateway left, was replaced or is silent, and stays due until it is in the log; the number of
 * keys is bounded. A copy may be appended at any time, because its figures are cumulative. Thread-safe.
 */
public final class UsageCopies {

    /** The maximum number of keys over all copies. */
    private final int keyLimit;

    /** The time without a report after which a gateway counts as silent, in milliseconds. */
    private final long silenceMillis;

    /** The copies by gateway incarnation. */
    private final Map<String, HeldCopy> byGateway = new HashMap<>();

    /**
     * Creates an empty store.
     *
     * @param keyLimit The maximum number of keys over all copies.
     * @param silenceMillis The time without a report after which a gateway counts as silent, in milliseconds.
     */
    public UsageCopies(int keyLimit, long silenceMillis) {
        this.keyLimit = keyLimit;
        this.silenceMillis = silenceMillis;
    }

    /** Records a report of a gateway. */
    public synchronized void recordReport(long nowMillis, String gateway) {
        HeldCopy held = byGateway.get(gateway);
        if (held != null) {
            held.lastReportMillis = nowMillis;
        }
    }

    /**
     * Stores or updates a copy.
     *
     * @return {@code true} if the copy is held; {@code false} if the store is full and the sender must find another
     *     holder.
     */
    public synchronized boolean hold(long nowMillis, UsageDelta copy) {
        HeldCopy held = byGateway.get(copy.gateway());
        long added = copy.totals().keySet().stream()
                .filter(key -> held == null || !held.totals.containsKey(key))
                .count();
        if (keys() + added > keyLimit) {
            return false;
        }
        HeldCopy target = byGateway.computeIfAbsent(copy.gateway(), name -> new HeldCopy());
        target.lastReportMillis = nowMillis;
        target.sequence = Math.max(target.sequence, copy.sequence());
        copy.totals().forEach((key, figures) -> target.totals.merge(key, figures, UsageFigures::maximum));
        return true;
    }

    /**
     * Drops the figures that are in the log and returns the copies that are due to be appended to it.
     *
     * @param ledger The usage recorded in the log.
     * @param members The incarnations that have joined and not left, as recorded in the log.
     * @return The copies to append.
     */
    public synchronized List<UsageDelta> due(long nowMillis, UsageLedger ledger, Set<String> members) {
        List<UsageDelta> due = new ArrayList<>();
        Iterator<Map.Entry<String, HeldCopy>> iterator = byGateway.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, HeldCopy> entry = iterator.next();
            HeldCopy held = entry.getValue();
            held.totals.entrySet().removeIf(line -> ledger.covers(entry.getKey(), line.getKey(), line.getValue()));
            if (held.totals.isEmpty()) {
                iterator.remove();
                continue;
            }
            boolean silent = nowMillis - held.lastReportMillis > silenceMillis;
            if (silent || !members.contains(entry.getKey())) {
                due.add(new UsageDelta(entry.getKey(), held.sequence, held.totals));
            }
        }
        return due;
    }

    /** Returns the number of keys over all copies. */
    public synchronized int keys() {
        return byGateway.values().stream().mapToInt(held -> held.totals.size()).sum();
    }

    /** Returns the number of calls in the copies, counted since the start of each gateway. */
    public synchronized long calls() {
        return byGateway.values().stream()
                .flatMap(held -> held.totals.values().stream())
                .mapToLong(UsageFigures::calls)
                .sum();
    }

    /** The copy of one gateway; guarded by the enclosing instance. */
    private static final class HeldCopy {

        /** The cumulative usage. */
        private final Map<UsageKey, UsageFigures> totals = new HashMap<>();

        /** The monotonic time of the last report in milliseconds. */
        private long lastReportMillis;

        /** The highest sequence number of the merged copies. */
        private long sequence;
    }
}
