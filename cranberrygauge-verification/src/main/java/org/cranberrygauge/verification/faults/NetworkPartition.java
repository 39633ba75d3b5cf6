package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A cut of the network between four gateways and the log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param groups The number of the group of each gateway, packed as decimal digits; gateways of one group reach each other.
 * @param logReaders The gateways that reach the log, one bit each.
 * @param weight The number of cuts that are the same but for the names of the gateways.
 */
record NetworkPartition(int groups, int logReaders, int weight) {

    /** The base of the packed groups. */
    private static final int BASE = 10;

    /**
     * Tells whether two gateways reach each other.
     *
     * @param one The one.
     * @param other The other.
     * @return Whether they do.
     */
    boolean connects(int one, int other) {
        return digit(groups, one) == digit(groups, other);
    }

    /**
     * Tells whether a gateway reaches the log.
     *
     * @param gateway The gateway.
     * @return Whether it does.
     */
    boolean reachesLog(int gateway) {
        return (logReaders >> gateway & 1) != 0;
    }

    /**
     * Returns all cuts, one for each that differs by more than the names of the gateways.
     *
     * @return The cuts; their weights add up to 15 partitions times 16 sets of readers.
     */
    static List<NetworkPartition> all() {
        Map<Long, Integer> weights = new TreeMap<>();
        for (int partition : partitions()) {
            for (int readers = 0; readers < 1 << GatewayStates.GATEWAYS; readers++) {
                weights.merge(canonical(partition, readers), 1, Integer::sum);
            }
        }
        List<NetworkPartition> cuts = new ArrayList<>();
        weights.forEach((packed, weight) ->
                cuts.add(new NetworkPartition((int) (packed >> GatewayStates.GATEWAYS), (int) (packed & 0xF), weight)));
        return cuts;
    }

    /**
     * Returns all partitions of the gateways.
     *
     * @return The packed groups.
     */
    private static List<Integer> partitions() {
        List<Integer> partitions = new ArrayList<>();
        for (int second = 0; second < 2; second++) {
            for (int third = 0; third <= second + 1; third++) {
                int highest = Math.max(second, third);
                for (int fourth = 0; fourth <= highest + 1; fourth++) {
                    partitions.add(second * BASE + third * BASE * BASE + fourth * BASE * BASE * BASE);
                }
            }
        }
        return partitions;
    }

    /**
     * Renames the gateways so that equal cuts look the same.
     *
     * @param partition The packed groups.
     * @param readers The gateways that reach the log.
     * @return The least packed form.
     */
    private static long canonical(int partition, int readers) {
        long least = Long.MAX_VALUE;
        for (int[] order : orders()) {
            least = Math.min(least, renamed(partition, readers, order));
        }
        return least;
    }

    /**
     * Renames the gateways.
     *
     * @param partition The packed groups.
     * @param readers The gateways that reach the log.
     * @param order The gateways in their new order.
     * @return The packed form.
     */
    private static long renamed(int partition, int readers, int[] order) {
        int[] names = new int[GatewayStates.GATEWAYS];
        int used = 0;
        long groups = 0;
        long scale = 1;
        int renamedReaders = 0;
        for (int place = 0; place < order.length; place++) {
            int group = digit(partition, order[place]);
            if (names[group] == 0) {
                used++;
                names[group] = used;
            }
            groups += (names[group] - 1) * scale;
            scale *= BASE;
            renamedReaders |= (readers >> order[place] & 1) << place;
        }
        return groups << GatewayStates.GATEWAYS | renamedReaders;
    }

    /**
     * Returns all orders of the gateways.
     *
     * @return The orders.
     */
    private static List<int[]> orders() {
        List<int[]> orders = new ArrayList<>();
        int size = GatewayStates.GATEWAYS;
        for (int code = 0; code < size * size * size * size; code++) {
            int[] order = {code % size, code / size % size, code / (size * size) % size, code / (size * size * size)};
            if ((1 << order[0] | 1 << order[1] | 1 << order[2] | 1 << order[3]) == (1 << size) - 1) {
                orders.add(order);
            }
        }
        return orders;
    }

    /**
     * Reads the group of a gateway.
     *
     * @param groups The packed groups.
     * @param gateway The gateway.
     * @return The number of its group.
     */
    private static int digit(int groups, int gateway) {
        int rest = groups;
        for (int place = 0; place < gateway; place++) {
            rest /= BASE;
        }
        return rest % BASE;
    }
}
