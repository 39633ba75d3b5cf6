package org.cranberrygauge.proxy.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What all hosts counted, by window, and the figures that were fixed.
 *
 * <p>Invariants: counts are cumulative by start of a host, so that the highest one counts and copies do no harm; the first
 * figures fixed for a window stand. Used by one thread.
 */
public final class UsageLedger {

    /** The windows that are remembered. */
    private static final int REMEMBERED_WINDOWS = 40;

    /** The counts by window, start of a host and customer. */
    private final TreeMap<Long, Map<String, Map<String, Long>>> counted = new TreeMap<>();

    /** The fixed figures by window. */
    private final TreeMap<Long, Map<String, Long>> decided = new TreeMap<>();

    /**
     * Takes the counts of a window at a start of a host.
     *
     * @param count The counts.
     */
    public void counted(UsageCount count) {
        Map<String, Long> counts = counted.computeIfAbsent(count.window(), number -> new HashMap<>())
                .computeIfAbsent(count.incarnation(), name -> new HashMap<>());
        count.byCustomer().forEach((customer, number) -> counts.merge(customer, number, Math::max));
        while (counted.size() > REMEMBERED_WINDOWS) {
            counted.pollFirstEntry();
        }
    }

    /**
     * Takes fixed figures.
     *
     * @param window The window.
     * @param byCustomer The figures.
     */
    public void decided(long window, Map<String, Long> byCustomer) {
        decided.putIfAbsent(window, Map.copyOf(byCustomer));
        while (decided.size() > REMEMBERED_WINDOWS) {
            decided.pollFirstEntry();
        }
    }

    /**
     * Returns the fixed figures of a window.
     *
     * @param window The window.
     * @return The figures, or null if none are fixed.
     */
    public Map<String, Long> decidedFor(long window) {
        return decided.get(window);
    }

    /**
     * Adds up the counts of a window.
     *
     * @param window The window.
     * @return The figures by customer.
     */
    public Map<String, Long> total(long window) {
        Map<String, Long> total = new HashMap<>();
        counted.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((customer, count) -> total.merge(customer, count, Long::sum)));
        return total;
    }

    /**
     * Returns the first window that anything is known of.
     *
     * @return The window, or the highest number if nothing is known.
     */
    public long firstWindow() {
        long first = counted.isEmpty() ? Long.MAX_VALUE : counted.firstKey();
        return decided.isEmpty() ? first : Math.min(first, decided.firstKey());
    }
}
