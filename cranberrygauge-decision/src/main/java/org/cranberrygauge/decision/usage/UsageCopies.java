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
 * The copies of usage that this process holds for other gateways.
 *
 * <p>Invariants: figures of a copy never fall; a copy is dropped once the log has its figures; a copy is due for the log
 * when its gateway left, was replaced, or is silent, and stays due until the log has it; the number of keys is bounded.
 * Appending a copy is harmless at any time, since its figures are cumulative. Safe for use by several threads.
 */
public final class UsageCopies {

    /** The highest number of keys that are held. */
    private final int keyLimit;

    /** The time without a report after which a gateway counts as silent in milliseconds. */
    private final long silenceMillis;

    /** The held copies by gateway incarnation. */
    private final Map<String, Held> byGateway = new HashMap<>();

    /**
     * Creates an empty store.
     *
     * @param keyLimit The highest number of keys that are held.
     * @param silenceMillis The time without a report after which a gateway counts as silent in milliseconds.
     */
    public UsageCopies(int keyLimit, long silenceMillis) {
        this.keyLimit = keyLimit;
        this.silenceMillis = silenceMillis;
    }

    /**
     * Notes that a gateway reported.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param gateway The incarnation of the gateway.
     */
    public synchronized void heard(long nowMillis, String gateway) {
        Held held = byGateway.get(gateway);
        if (held != null) {
            held.heardAtMillis = nowMillis;
        }
    }

    /**
     * Takes a copy in.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param copy The copy.
     * @return Whether it is held; otherwise the store is full, and the sender must not count on it.
     */
    public synchronized boolean hold(long nowMillis, UsageDelta copy) {
        Held held = byGateway.get(copy.gateway());
        long added = copy.totals().keySet().stream()
                .filter(key -> held == null || !held.totals.containsKey(key))
                .count();
        if (keys() + added > keyLimit) {
            return false;
        }
        Held target = byGateway.computeIfAbsent(copy.gateway(), name -> new Held());
        target.heardAtMillis = nowMillis;
        target.sequence = Math.max(target.sequence, copy.sequence());
        copy.totals().forEach((key, figures) -> target.totals.merge(key, figures, UsageFigures::maximum));
        return true;
    }

    /**
     * Drops what the log has, and takes what is due to be appended to it.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param ledger The usage that stands in the log.
     * @param members The incarnations that joined and did not leave, as they stand in the log.
     * @return The copies to append.
     */
    public synchronized List<UsageDelta> due(long nowMillis, UsageLedger ledger, Set<String> members) {
        List<UsageDelta> due = new ArrayList<>();
        Iterator<Map.Entry<String, Held>> iterator = byGateway.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<String, Held> entry = iterator.next();
            Held held = entry.getValue();
            held.totals.entrySet().removeIf(line -> ledger.covers(entry.getKey(), line.getKey(), line.getValue()));
            if (held.totals.isEmpty()) {
                iterator.remove();
                continue;
            }
            boolean silent = nowMillis - held.heardAtMillis > silenceMillis;
            if (silent || !members.contains(entry.getKey())) {
                due.add(new UsageDelta(entry.getKey(), held.sequence, held.totals));
            }
        }
        return due;
    }

    /**
     * Returns the number of keys that are held.
     *
     * @return The number.
     */
    public synchronized int keys() {
        return byGateway.values().stream().mapToInt(held -> held.totals.size()).sum();
    }

    /**
     * Returns the calls in the copies, those since the start of each gateway.
     *
     * @return The number.
     */
    public synchronized long calls() {
        return byGateway.values().stream()
                .flatMap(held -> held.totals.values().stream())
                .mapToLong(UsageFigures::calls)
                .sum();
    }

    /** The copy of one gateway; guarded by the store. */
    private static final class Held {

        /** The cumulative figures. */
        private final Map<UsageKey, UsageFigures> totals = new HashMap<>();

        /** The monotonic time of the last report. */
        private long heardAtMillis;

        /** The highest sequence number of a copy. */
        private long sequence;
    }
}
