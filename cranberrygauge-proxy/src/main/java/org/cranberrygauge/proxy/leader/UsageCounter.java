package org.cranberrygauge.proxy.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests that started running, by usage window and customer. A window is an interval of wall-clock time.
 *
 * <p>Counts are cumulative within a window, so that lost or duplicate records do no harm. Thread-safe.
 */
public final class UsageCounter {

    private static final int RETAINED_WINDOWS = 12;

    private final long windowMillis;

    /** By window and customer. */
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

    public UsageCounter(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Returns the number of the window that contains a time.
     *
     * @param wallMillis The wall-clock time in milliseconds since the epoch.
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Counts a request.
     *
     * @param wallMillis The wall-clock time at which it started, in milliseconds since the epoch.
     */
    public synchronized void count(long wallMillis, String customer) {
        long window = windowAt(wallMillis);
        windows.computeIfAbsent(window, number -> new HashMap<>()).merge(customer, 1L, Long::sum);
        while (windows.size() > RETAINED_WINDOWS) {
            windows.pollFirstEntry();
        }
    }

    /**
     * Returns the counts of the newest windows, by window and customer.
     *
     * @param number The maximum number of windows.
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
