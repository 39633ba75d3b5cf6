package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.cranberrygauge.decision.routing.BackendTable.Ejection;

/**
 * Ejects backend servers that are slower than their peers, and readmits them.
 *
 * <p>Stateless and thread-safe; the outcome is kept in the entries of a table.
 */
public enum OutlierDetection {
    /** Compares each server with the median of its peers, ejects slow ones up to a cap and readmits them gradually. */
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
            int cap = (int) (servers.size() * MAXIMUM_EJECTED_FRACTION);
            for (BackendEntry entry : servers) {
                if (entry.ejectedUntilMillis > nowMillis) {
                    continue;
                }
                if (isSlow(entry) && ejected < cap) {
                    eject(nowMillis, entry);
                    ejected++;
                    changes.add(new Ejection(entry.server.name(), true, entry.slowness));
                } else if (entry.readmissionLimit != Integer.MAX_VALUE && readmit(entry)) {
                    changes.add(new Ejection(entry.server.name(), false, entry.slowness));
                }
            }
            return changes;
        }
    },
    /** Ejects no server. */
    DISABLED {
        @Override
        List<Ejection> compare(long nowMillis, List<BackendEntry> servers) {
            return List.of();
        }
    };

    /** The slowness from which a server is ejected. */
    private static final double EJECTION_SLOWNESS = 2;

    /** The slowness up to which an ejected server is readmitted further. */
    private static final double READMISSION_SLOWNESS = 1.4;

    /** The number of samples needed to evaluate a server. */
    private static final int MINIMUM_SAMPLES = 3;

    /** The largest fraction of servers that may be ejected at the same time. */
    private static final double MAXIMUM_EJECTED_FRACTION = 0.25;

    /** The length of the first ejection in milliseconds. */
    private static final long FIRST_EJECTION_MILLIS = 5_000;

    /** The length of the longest ejection in milliseconds. */
    private static final long LONGEST_EJECTION_MILLIS = 60_000;

    /**
     * Compares servers and updates their slowness and readmission limits.
     *
     * @param servers The servers of one target.
     * @return The servers that were ejected or readmitted.
     */
    abstract List<Ejection> compare(long nowMillis, List<BackendEntry> servers);

    /**
     * Returns the median time between tokens.
     *
     * @return The time in milliseconds; 0 while fewer than half of the servers are measured.
     */
    private static double median(List<BackendEntry> servers) {
        double[] known = servers.stream()
                .mapToDouble(entry -> entry.intervalMillis)
                .filter(interval -> interval > 0)
                .toArray();
        if (known.length * 2 < servers.size() || known.length < MINIMUM_SAMPLES) {
            return 0;
        }
        Arrays.sort(known);
        return known[known.length / 2];
    }

    private static boolean isSlow(BackendEntry entry) {
        return entry.samples >= MINIMUM_SAMPLES && entry.slowness >= EJECTION_SLOWNESS;
    }

    private static void eject(long nowMillis, BackendEntry entry) {
        entry.ejectionMillis = entry.ejectionMillis == 0
                ? FIRST_EJECTION_MILLIS
                : Math.min(LONGEST_EJECTION_MILLIS, entry.ejectionMillis * 2);
        entry.ejectedUntilMillis = nowMillis + entry.ejectionMillis;
        entry.readmissionLimit = 0;
        entry.samples = 0;
    }

    /**
     * Allows an ejected server its first request, or doubles its limit after good samples.
     *
     * @return {@code true} if the server is fully readmitted.
     */
    private static boolean readmit(BackendEntry entry) {
        if (entry.readmissionLimit == 0) {
            entry.readmissionLimit = 1;
            entry.intervalMillis = 0;
            return false;
        }
        if (entry.samples < entry.readmissionLimit || entry.slowness > READMISSION_SLOWNESS) {
            return false;
        }
        entry.samples = 0;
        entry.readmissionLimit *= 2;
        if (entry.readmissionLimit < entry.server.slots()) {
            return false;
        }
        entry.readmissionLimit = Integer.MAX_VALUE;
        entry.ejectionMillis = 0;
        return true;
    }
}
