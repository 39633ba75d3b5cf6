package org.cranberrygauge.proxy.leader;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The usage counts of all hosts by window, and the figures decided for each window.
 *
 * <p>Invariants: counts are cumulative for each host incarnation, so that the highest count is used and duplicates do
 * no harm; the first figures decided for a window are final. Not thread-safe.
 */
public final class UsageLedger {

    private static final int RETAINED_WINDOWS = 40;

    /** By window, host incarnation and customer. */
    private final TreeMap<Long, Map<String, Map<String, Long>>> counted = new TreeMap<>();

    /** By window and customer. */
    private final TreeMap<Long, Map<String, Long>> decided = new TreeMap<>();

    /** Merges the counts of one window and host incarnation. */
    public void recordCount(UsageCount count) {
        Map<String, Long> counts = counted.computeIfAbsent(count.window(), number -> new HashMap<>())
                .computeIfAbsent(count.incarnation(), name -> new HashMap<>());
        count.byCustomer().forEach((customer, number) -> counts.merge(customer, number, Math::max));
        while (counted.size() > RETAINED_WINDOWS) {
            counted.pollFirstEntry();
        }
    }

    /** Records decided figures; ignored if the window has some already. */
    public void recordDecided(long window, Map<String, Long> byCustomer) {
        decided.putIfAbsent(window, Map.copyOf(byCustomer));
        while (decided.size() > RETAINED_WINDOWS) {
            decided.pollFirstEntry();
        }
    }

    /** Returns the windows with decided figures, oldest first. */
    public SortedMap<Long, Map<String, Long>> decided() {
        return Collections.unmodifiableSortedMap(decided);
    }

    /** Returns the decided figures of a window by customer, or null if there are none. */
    public Map<String, Long> decidedFigures(long window) {
        return decided.get(window);
    }

    /** Sums the counts of a window over all host incarnations, by customer. */
    public Map<String, Long> total(long window) {
        Map<String, Long> total = new HashMap<>();
        counted.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((customer, count) -> total.merge(customer, count, Long::sum)));
        return total;
    }

    /** Returns the oldest retained window, or {@link Long#MAX_VALUE} if there is none. */
    public long firstWindow() {
        long first = counted.isEmpty() ? Long.MAX_VALUE : counted.firstKey();
        return decided.isEmpty() ? first : Math.min(first, decided.firstKey());
    }
}
