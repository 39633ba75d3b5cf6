package org.cranberrygauge.proxy.leader;

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
        while (windows.size() > REMEMBERED_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /**
     * Returns the counts of the newest windows.
     *
     * @param number The number of windows.
     * @return The counts by window and customer.
     */
    public synchronized Map<Long, Map<String, Long>> newest(int number) {
        Map<Long, Map<String, Long>> newest = new TreeMap<>();
        for (Map.Entry<Long, Map<String, Long>> entry : windows.descendingMap().entrySet()) {
            if (newest.size() == number) {
                break;
            }
            newest.put(entry.getKey(), Map.copyOf(entry.getValue()));
        }
        return newest;
    }
}
