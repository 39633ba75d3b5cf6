package org.cranberrygauge.proxy.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The usage counts of this host, and of hosts that forward theirs to it, that are not written to the shared log yet.
 *
 * <p>Invariants: counts are cumulative, so that a lower count of the same host incarnation and window is outdated and
 * ignored; a count becomes due for writing only when it increases. Not thread-safe.
 */
public final class PendingUsageCounts {

    private static final int RETAINED_WINDOWS = 12;

    /** By window, host incarnation and customer. */
    private final TreeMap<Long, Map<String, Map<String, Long>>> counts = new TreeMap<>();

    /** The counts that increased since they were last drained. */
    private final Set<Origin> changed = new LinkedHashSet<>();

    /** Merges the counts of one window and host incarnation. */
    public void merge(UsageCount count) {
        Map<String, Long> current = counts.computeIfAbsent(count.window(), window -> new HashMap<>())
                .computeIfAbsent(count.incarnation(), incarnation -> new HashMap<>());
        count.byCustomer().forEach((customer, number) -> {
            if (number > current.getOrDefault(customer, 0L)) {
                current.put(customer, number);
                changed.add(new Origin(count.window(), count.incarnation()));
            }
        });
        while (counts.size() > RETAINED_WINDOWS) {
            long expired = counts.pollFirstEntry().getKey();
            changed.removeIf(origin -> origin.window() == expired);
        }
    }

    /** Removes and returns the counts that increased. */
    public List<UsageCount> drainChanged() {
        List<UsageCount> drained = new ArrayList<>();
        for (Origin origin : changed) {
            Map<String, Long> byCustomer = counts.get(origin.window()).get(origin.incarnation());
            drained.add(new UsageCount(origin.incarnation(), origin.window(), byCustomer));
        }
        changed.clear();
        return drained;
    }

    /** Marks all retained counts as due again, since some may be lost. */
    public void requeueAll() {
        counts.forEach((window, byIncarnation) ->
                byIncarnation.keySet().forEach(incarnation -> changed.add(new Origin(window, incarnation))));
    }

    /** Marks counts as due again after a failed write. */
    public void requeue(List<UsageCount> drained) {
        for (UsageCount count : drained) {
            if (counts.containsKey(count.window())) {
                changed.add(new Origin(count.window(), count.incarnation()));
            }
        }
    }

    /** The window and host incarnation that counts belong to. */
    private record Origin(long window, String incarnation) {}
}
