package org.cranberrygauge.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks when each host on which a gateway is a member was last listed by the platform and when its gateway last
 * reported.
 *
 * <p>Invariants: recorded times never decrease; absence counts only while the platform's list is read regularly, so
 * that an outage of the platform makes no host absent. Not thread-safe; confined to one thread.
 */
public final class HostLivenessTracker {

    /** The time between two reads of the list, in milliseconds, above which absence counts only from the later read. */
    private static final long MAXIMUM_READ_INTERVAL_MILLIS = 2_000;

    /** The hosts that the platform has listed at any time. */
    private final Set<String> everListed = new HashSet<>();

    /** The monotonic time at which each host was last listed, in milliseconds. */
    private final Map<String, Long> listedAtMillis = new HashMap<>();

    /** The monotonic time at which the gateway of each host last reported, in milliseconds. */
    private final Map<String, Long> reportedAtMillis = new HashMap<>();

    /** The monotonic time at which the platform's list was last read, in milliseconds. */
    private long readAtMillis;

    /**
     * Updates the tracker with the platform's list.
     *
     * @param hosts The listed hosts, live or leaving.
     */
    public void listed(long nowMillis, Collection<String> hosts) {
        if (nowMillis - readAtMillis > MAXIMUM_READ_INTERVAL_MILLIS) {
            listedAtMillis.replaceAll((host, atMillis) -> nowMillis);
        }
        readAtMillis = nowMillis;
        for (String host : hosts) {
            everListed.add(host);
            listedAtMillis.put(host, nowMillis);
        }
    }

    /** Records a report from the gateway of a host. */
    public void recordReport(long nowMillis, String host) {
        reportedAtMillis.merge(host, nowMillis, Math::max);
    }

    /**
     * Returns the liveness of the hosts of all members.
     *
     * @param nowMillis The current monotonic time in milliseconds, from which absence counts for hosts that are new
     *     here.
     */
    public List<HostLiveness> of(long nowMillis, Membership members) {
        List<HostLiveness> result = new ArrayList<>();
        for (String host : members.byHost().keySet()) {
            long reported = reportedAtMillis.computeIfAbsent(host, name -> nowMillis);
            long listed = listedAtMillis.computeIfAbsent(host, name -> nowMillis);
            result.add(new HostLiveness(host, everListed.contains(host), listed, reported));
        }
        return result;
    }
}
