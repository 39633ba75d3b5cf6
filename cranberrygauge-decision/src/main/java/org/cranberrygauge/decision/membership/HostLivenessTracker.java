package org.cranberrygauge.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When each host on which a gateway is a member was last listed by the platform and last heard.
 *
 * <p>Invariants: a time never falls; absence counts only while the list is read again and again, so that an outage of the
 * platform makes no host absent. Used by one thread.
 */
public final class HostLivenessTracker {

    /** The longest time between two reads of the list after which absence counts from the later one, in milliseconds. */
    private static final long LONGEST_INTERVAL_MILLIS = 2_000;

    /** The hosts that the platform ever listed. */
    private final Set<String> everListed = new HashSet<>();

    /** The monotonic time at which each host was last listed. */
    private final Map<String, Long> listedAtMillis = new HashMap<>();

    /** The monotonic time at which each host was last heard. */
    private final Map<String, Long> heardAtMillis = new HashMap<>();

    /** The monotonic time at which the platform's list was last read. */
    private long readAtMillis;

    /**
     * Takes in the platform's list.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param hosts The hosts that it holds, live or leaving.
     */
    public void listed(long nowMillis, Collection<String> hosts) {
        if (nowMillis - readAtMillis > LONGEST_INTERVAL_MILLIS) {
            listedAtMillis.replaceAll((host, atMillis) -> nowMillis);
        }
        readAtMillis = nowMillis;
        for (String host : hosts) {
            everListed.add(host);
            listedAtMillis.put(host, nowMillis);
        }
    }

    /**
     * Notes that the gateway of a host answered.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param host The host.
     */
    public void heard(long nowMillis, String host) {
        heardAtMillis.merge(host, nowMillis, Math::max);
    }

    /**
     * Returns what is known of the hosts of all members.
     *
     * @param nowMillis The present monotonic time in milliseconds, from which hosts count that are new here.
     * @param members The gateways as they stand in the log.
     * @return The sightings.
     */
    public List<HostLiveness> of(long nowMillis, Membership members) {
        List<HostLiveness> sightings = new ArrayList<>();
        for (String host : members.byHost().keySet()) {
            long heard = heardAtMillis.computeIfAbsent(host, name -> nowMillis);
            long listed = listedAtMillis.computeIfAbsent(host, name -> nowMillis);
            sightings.add(new HostLiveness(host, everListed.contains(host), listed, heard));
        }
        return sightings;
    }
}
