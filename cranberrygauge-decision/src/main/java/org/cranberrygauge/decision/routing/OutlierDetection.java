package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cranberrygauge.decision.routing.BackendTable.Ejection;

/**
 * The rule by which slow backend servers are ejected and readmitted.
 *
 * <p>Stateless and safe for use by several threads; what it decides is kept in the entries of a table.
 */
public enum OutlierDetection {
    /** Compares with the median of the peers, ejects the slowest up to a cap and readmits slowly. */
    PEERS {
        @Override
        List<Ejection> compare(long nowMillis, List<BackendEntry> servers) {
            double median = median(servers);
            if (median == 0) {
                return List.of();
            }
            List<Ejection> changes = new ArrayList<>();
            int ejected = 0;
            for (BackendEntry entry : servers) {
                entry.slowness = entry.intervalMillis == 0 ? 1 : entry.intervalMillis / median;
                if (entry.ejectedUntilMillis > nowMillis) {
                    ejected++;
                }
            }
            int cap = (int) (servers.size() * EJECTED_SHARE);
            for (BackendEntry entry : servers) {
                if (entry.ejectedUntilMillis > nowMillis) {
                    continue;
                }
                if (isSlow(entry) && ejected < cap) {
                    eject(nowMillis, entry);
                    ejected++;
                    changes.add(new Ejection(entry.server.name(), true, entry.slowness));
                } else if (entry.speedLimit != Integer.MAX_VALUE && readmit(entry)) {
                    changes.add(new Ejection(entry.server.name(), false, entry.slowness));
                }
            }
            return changes;
        }
    },
    /** Compares nothing. */
    DISABLED {
        @Override
        List<Ejection> compare(long nowMillis, List<BackendEntry> servers) {
            return List.of();
        }
    };

    /** The slowness from which a server is ejected. */
    private static final double SLOW = 2;

    /** The slowness below which an ejected server gets more work again. */
    private static final double GOOD = 1.4;

    /** The samples that a judgement needs. */
    private static final int SAMPLES = 3;

    /** The largest share of servers that is ejected at once. */
    private static final double EJECTED_SHARE = 0.25;

    /** The length of the first ejection in milliseconds. */
    private static final long FIRST_EJECTION_MILLIS = 5_000;

    /** The length of the longest ejection in milliseconds. */
    private static final long LONGEST_EJECTION_MILLIS = 60_000;

    /**
     * Compares the servers and sets their slowness and speed limits.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param servers The servers of one target.
     * @return The servers that were ejected or readmitted.
     */
    abstract List<Ejection> compare(long nowMillis, List<BackendEntry> servers);

    /**
     * Returns the median time between tokens.
     *
     * @param servers The servers.
     * @return The time in milliseconds; 0 while fewer than half are known.
     */
    private static double median(List<BackendEntry> servers) {
        double[] known = servers.stream()
                .mapToDouble(entry -> entry.intervalMillis)
                .filter(interval -> interval > 0)
                .toArray();
        if (known.length * 2 < servers.size() || known.length < SAMPLES) {
            return 0;
        }
        Arrays.sort(known);
        return known[known.length / 2];
    }

    /**
     * Tells whether a server is slow.
     *
     * @param entry The server.
     * @return Whether it is.
     */
    private static boolean isSlow(BackendEntry entry) {
        return entry.samples >= SAMPLES && entry.slowness >= SLOW;
    }

    /**
     * Ejects a server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param entry The server.
     */
    private static void eject(long nowMillis, BackendEntry entry) {
        entry.ejectionMillis = entry.ejectionMillis == 0
                ? FIRST_EJECTION_MILLIS
                : Math.min(LONGEST_EJECTION_MILLIS, entry.ejectionMillis * 2);
        entry.ejectedUntilMillis = nowMillis + entry.ejectionMillis;
        entry.speedLimit = 0;
        entry.samples = 0;
    }

    /**
     * Gives an ejected server its first request, or twice as many after good samples.
     *
     * @param entry The server.
     * @return Whether it is fully readmitted.
     */
    private static boolean readmit(BackendEntry entry) {
        if (entry.speedLimit == 0) {
            entry.speedLimit = 1;
            entry.intervalMillis = 0;
            return false;
        }
        if (entry.samples < entry.speedLimit || entry.slowness > GOOD) {
            return false;
        }
        entry.samples = 0;
        entry.speedLimit *= 2;
        if (entry.speedLimit < entry.server.slots()) {
            return false;
        }
        entry.speedLimit = Integer.MAX_VALUE;
        entry.ejectionMillis = 0;
        return true;
    }
}
