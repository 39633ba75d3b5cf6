package org.cranberrygauge.proxy.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The counts that this host and those that hand theirs to it have still to write.
 *
 * <p>Invariants: counts are cumulative, so that a lower one of the same start of a host and window is an older one and is
 * dropped; counts are written again only once they rose. Used by one thread.
 */
public final class PendingUsageCounts {

    /** The windows that are remembered. */
    private static final int REMEMBERED_WINDOWS = 12;

    /** The counts by window and start of a host. */
    private final TreeMap<Long, Map<String, Map<String, Long>>> counts = new TreeMap<>();

    /** What rose since it was last taken. */
    private final Set<Origin> changed = new LinkedHashSet<>();

    /**
     * Takes the counts of a window at a start of a host.
     *
     * @param count The counts.
     */
    public void take(UsageCount count) {
        Map<String, Long> known = counts.computeIfAbsent(count.window(), window -> new HashMap<>())
                .computeIfAbsent(count.incarnation(), incarnation -> new HashMap<>());
        count.byCustomer().forEach((customer, number) -> {
            if (number > known.getOrDefault(customer, 0L)) {
                known.put(customer, number);
                changed.add(new Origin(count.window(), count.incarnation()));
            }
        });
        while (counts.size() > REMEMBERED_WINDOWS) {
            long forgotten = counts.pollFirstEntry().getKey();
            changed.removeIf(origin -> origin.window() == forgotten);
        }
    }

    /**
     * Takes the counts that rose.
     *
     * @return The counts.
     */
    public List<UsageCount> takeChanged() {
        List<UsageCount> taken = new ArrayList<>();
        for (Origin origin : changed) {
            Map<String, Long> byCustomer = counts.get(origin.window()).get(origin.incarnation());
            taken.add(new UsageCount(origin.incarnation(), origin.window(), byCustomer));
        }
        changed.clear();
        return taken;
    }

    /**
     * Marks counts as to be written again, since that failed.
     *
     * @param taken The counts.
     */
    public void giveBack(List<UsageCount> taken) {
        for (UsageCount count : taken) {
            if (counts.containsKey(count.window())) {
                changed.add(new Origin(count.window(), count.incarnation()));
            }
        }
    }

    /**
     * Where counts come from.
     *
     * @param window The window.
     * @param incarnation The start of the host.
     */
    private record Origin(long window, String incarnation) {}
}
