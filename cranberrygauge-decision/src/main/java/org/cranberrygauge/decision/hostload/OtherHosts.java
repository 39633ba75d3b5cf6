package org.cranberrygauge.decision.hostload;

import java.util.List;

/**
 * What this host knows of the load of the other hosts that it heard recently. Immutable.
 *
 * @param asOfMillis The monotonic time at which the reports were evaluated, in milliseconds.
 * @param unknown The number of hosts that were heard and reported no delay.
 * @param delaysMillis The delays that the other hosts reported, in milliseconds.
 */
public record OtherHosts(long asOfMillis, int unknown, List<Integer> delaysMillis) {

    /** No other host was heard. */
    public static final OtherHosts NONE = new OtherHosts(Long.MIN_VALUE / 2, 0, List.of());

    /** The age from which this knowledge is not used, the validity of a report. */
    private static final long VALIDITY_MILLIS = 1_500;

    public OtherHosts {
        delaysMillis = List.copyOf(delaysMillis);
    }

    /**
     * Returns the share of all hosts, including this one, that are known to have a delay below a limit. This host and
     * those that reported no delay count as above it, so that missing reports never lead to shedding.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    double shareBelow(long nowMillis, double limitMillis) {
        if (nowMillis - asOfMillis >= VALIDITY_MILLIS) {
            return 0;
        }
        long below = delaysMillis.stream().filter(delay -> delay < limitMillis).count();
        return (double) below / (1 + unknown + delaysMillis.size());
    }
}
