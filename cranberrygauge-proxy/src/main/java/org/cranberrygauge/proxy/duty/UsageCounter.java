package org.cranberrygauge.proxy.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that began to run, by window of the time of day and customer.
 *
 * <p>Counts are cumulative by window, so that a record that is lost or written twice does no harm. Safe for use by several
 * threads.
 */
public final class UsageCounter {

    /** The windows that are remembered. */
    private static final int REMEMBERED_WINDOWS = 12;

    /** The length of a window in milliseconds. */
    private final long windowMillis;

    /** The counts by window and customer. */
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

    /** The windows whose counts changed since they were last taken. */
    private final Map<Long, Boolean> changed = new HashMap<>();

    /**
     * Creates a counter.
     *
     * @param windowMillis The length of a window in milliseconds.
     */
    public UsageCounter(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns the window of a time.
     *
     * @param wallMillis The time of day in milliseconds of the epoch.
     * @return The number of the window.
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Counts a request.
     *
     * @param wallMillis The time of day at which it began, in milliseconds of the epoch.
     * @param customer The customer.
     */
    public synchronized void count(long wallMillis, String customer) {
        long window = windowAt(wallMillis);
        windows.computeIfAbsent(window, number -> new HashMap<>()).merge(customer, 1L, Long::sum);
        changed.put(window, true);
        while (windows.size() > REMEMBERED_WINDOWS) {
            changed.remove(windows.pollFirstEntry().getKey());
        }
    }

    /**
     * Takes the windows whose counts changed.
     *
     * @return The counts by window and customer.
     */
    public synchronized Map<Long, Map<String, Long>> takeChanged() {
        Map<Long, Map<String, Long>> taken = new TreeMap<>();
        changed.keySet().forEach(window -> taken.put(window, Map.copyOf(windows.get(window))));
        changed.clear();
        return taken;
    }

    /**
     * Marks windows as changed again, since they could not be written.
     *
     * @param written The windows.
     */
    public synchronized void giveBack(Iterable<Long> written) {
        for (Long window : written) {
            if (windows.containsKey(window)) {
                changed.put(window, true);
            }
        }
    }
}
