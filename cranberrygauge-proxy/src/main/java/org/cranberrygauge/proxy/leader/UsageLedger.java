package org.cranberrygauge.proxy.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The usage counts of all hosts by window.
 *
 * <p>Invariants: counts are cumulative for each host incarnation, so that the highest count is used and duplicates do
 * no harm; a window without counts has a total only if no record with counts of it can have been missed. Not thread-safe.
 */
public final class UsageLedger {

    private static final int RETAINED_WINDOWS = 40;

    private final long windowMillis;

    private final long retentionMillis;

    /** By window, host incarnation and customer. */
    private final TreeMap<Long, Map<String, Map<String, Long>>> counted = new TreeMap<>();

    /** The wall-clock time since which each record of the log was read, in milliseconds since the epoch. */
    private long completeSinceMillis = Long.MIN_VALUE;

    /**
     * @param windowMillis The length of a window in milliseconds.
     * @param retentionMillis The time for which the log retains records, in milliseconds; 0 if it is not known.
     */
    public UsageLedger(long windowMillis, long retentionMillis) {
        this.windowMillis = windowMillis;
        this.retentionMillis = retentionMillis;
    }

    /** Merges the counts of one window and host incarnation. */
    public void recordCount(UsageCount count) {
        Map<String, Long> counts = counted.computeIfAbsent(count.window(), number -> new HashMap<>())
                .computeIfAbsent(count.incarnation(), name -> new HashMap<>());
        count.byCustomer().forEach((customer, number) -> counts.merge(customer, number, Math::max));
        while (counted.size() > RETAINED_WINDOWS) {
            counted.pollFirstEntry();
        }
    }

    /**
     * Records that a read began at the first record that the log retained, and not after the last one that was read.
     *
     * @param sentMillis The time in milliseconds since the epoch at which the read was sent.
     */
    public void recordSkipped(long sentMillis) {
        completeSinceMillis = Math.max(completeSinceMillis, sentMillis - retentionMillis);
    }

    /**
     * Sums the counts of a window over all host incarnations.
     *
     * @return The total by customer, or empty if there are no counts and some may have been missed.
     */
    public Optional<Map<String, Long>> total(long window) {
        if (!counted.containsKey(window) && window * windowMillis < completeSinceMillis) {
            return Optional.empty();
        }
        Map<String, Long> total = new HashMap<>();
        counted.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((customer, count) -> total.merge(customer, count, Long::sum)));
        return Optional.of(total);
    }

    /** Returns the oldest retained window, or {@link Long#MAX_VALUE} if there is none. */
    public long firstWindow() {
        return counted.isEmpty() ? Long.MAX_VALUE : counted.firstKey();
    }
}
