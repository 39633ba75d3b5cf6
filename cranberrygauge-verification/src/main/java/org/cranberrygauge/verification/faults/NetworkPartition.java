package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A partition of the network between four gateways and the log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param groups The number of the group of each gateway, packed as decimal digits; gateways of one group reach each
 *     other.
 * @param logReaders The gateways that reach the log, one bit each.
 * @param weight The number of partitions that differ only in the numbering of the gateways.
 */
record NetworkPartition(int groups, int logReaders, int weight) {

    /** The base of the packed groups. */
    private static final int BASE = 10;

    /** Tells whether two gateways reach each other. */
    boolean connects(int one, int other) {
        return groupOf(groups, one) == groupOf(groups, other);
    }

    boolean reachesLog(int gateway) {
        return (logReaders >> gateway & 1) != 0;
    }

    /**
     * Returns one partition for each set that differs only in the numbering of the gateways; the weights add up to 15
     * partitions times 16 sets of readers.
     */
    static List<NetworkPartition> all() {
        Map<Long, Integer> weights = new TreeMap<>();
        for (int packedGroups : groupings()) {
            for (int readers = 0; readers < 1 << GatewayStates.GATEWAYS; readers++) {
                weights.merge(canonical(packedGroups, readers), 1, Integer::sum);
            }
        }
        List<NetworkPartition> partitions = new ArrayList<>();
        weights.forEach((packed, weight) -> partitions.add(
                new NetworkPartition((int) (packed >> GatewayStates.GATEWAYS), (int) (packed & 0xF), weight)));
        return partitions;
    }

    /** Returns all partitions of the gateways as packed groups. */
    private static List<Integer> groupings() {
        List<Integer> groupings = new ArrayList<>();
        for (int second = 0; second < 2; second++) {
            for (int third = 0; third <= second + 1; third++) {
                int highest = Math.max(second, third);
                for (int fourth = 0; fourth <= highest + 1; fourth++) {
                    groupings.add(second * BASE + third * BASE * BASE + fourth * BASE * BASE * BASE);
                }
            }
        }
        return groupings;
    }

    /** Renumbers the gateways so that equivalent partitions have the same packed form: the smallest one. */
    private static long canonical(int packedGroups, int readers) {
        long smallest = Long.MAX_VALUE;
        for (int[] permutation : permutations()) {
            smallest = Math.min(smallest, renumber(packedGroups, readers, permutation));
        }
        return smallest;
    }

    /** Renumbers the gateways in the given order and returns the packed form. */
    private static long renumber(int packedGroups, int readers, int[] permutation) {
        int[] numbers = new int[GatewayStates.GATEWAYS];
        int used = 0;
        long groups = 0;
        long scale = 1;
        int renumberedReaders = 0;
        for (int place = 0; place < permutation.length; place++) {
            int group = groupOf(packedGroups, permutation[place]);
            if (numbers[group] == 0) {
                used++;
                numbers[group] = used;
            }
            groups += (numbers[group] - 1) * scale;
            scale *= BASE;
            renumberedReaders |= (readers >> permutation[place] & 1) << place;
        }
        return groups << GatewayStates.GATEWAYS | renumberedReaders;
    }

    private static List<int[]> permutations() {
        List<int[]> permutations = new ArrayList<>();
        int size = GatewayStates.GATEWAYS;
        for (int code = 0; code < size * size * size * size; code++) {
            int[] permutation = {
                code % size, code / size % size, code / (size * size) % size, code / (size * size * size)
            };
            if ((1 << permutation[0] | 1 << permutation[1] | 1 << permutation[2] | 1 << permutation[3])
                    == (1 << size) - 1) {
                permutations.add(permutation);
            }
        }
        return permutations;
    }

    private static int groupOf(int groups, int gateway) {
        int rest = groups;
        for (int place = 0; place < gateway; place++) {
            rest /= BASE;
        }
        return rest % BASE;
    }
}
