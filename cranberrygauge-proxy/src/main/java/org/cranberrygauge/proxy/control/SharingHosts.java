package org.cranberrygauge.proxy.control;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the hosts that share retry budgets.
 *
 * <p>A host that falls silent may be cut off and still send requests, so that it counts for a long time. One that was only
 * found in the shared log may be gone for good; it counts for a short time, or as long as no host at all is heard, since
 * then it is this one that is cut off. Not thread-safe.
 */
final class SharingHosts {

    /** The time after its last report for which a host counts. */
    private static final long HEARD_MILLIS = 600_000;

    /** The time after its discovery for which a host counts that was not heard. */
    private static final long LISTED_MILLIS = 60_000;

    /** The monotonic times of the last reports, by host. */
    private final Map<String, Long> heardMillis = new HashMap<>();

    /** The monotonic times of the discovery of hosts that were not heard. */
    private final Map<String, Long> listedMillis = new HashMap<>();

    /** Whether the list of hosts has been read from the shared log. */
    private boolean listRead;

    /** @param nowMillis The current monotonic time in milliseconds. */
    void recordListed(long nowMillis, String host) {
        if (!heardMillis.containsKey(host)) {
            listedMillis.put(host, nowMillis);
        }
    }

    /** Records that all hosts in the shared log are listed by now. */
    void recordListRead() {
        listRead = true;
    }

    /** @param nowMillis The current monotonic time in milliseconds. */
    void recordHeard(long nowMillis, String host) {
        listedMillis.remove(host);
        heardMillis.put(host, nowMillis);
    }

    /**
     * Returns the number of hosts, including this one; 0 before the list of hosts has been read.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    int count(long nowMillis) {
        if (!listRead) {
            return 0;
        }
        heardMillis.values().removeIf(heard -> nowMillis - heard > HEARD_MILLIS);
        if (!heardMillis.isEmpty()) {
            listedMillis.values().removeIf(listed -> nowMillis - listed > LISTED_MILLIS);
        }
        return 1 + heardMillis.size() + listedMillis.size();
    }
}
