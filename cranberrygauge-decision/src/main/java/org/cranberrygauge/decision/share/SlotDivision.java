package org.cranberrygauge.decision.share;

import java.util.Map;
import java.util.SortedMap;

/**
 * Decides how many requests one gateway may have in flight at a backend server.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface SlotDivision {

    /**
     * Returns the limit of this gateway at a backend server.
     *
     * @param slots The number of requests that the server runs concurrently.
     * @param own The requests in flight from this gateway.
     * @param others The requests in flight from peers, as last reported.
     * @param demand The demand of this gateway relative to its peers.
     * @param roundingOffset The offset in slots, from 0 to 1, that is added before shares are rounded at this server.
     */
    int ownLimit(int slots, int own, int others, GatewayDemand demand, double roundingOffset);

    /**
     * The demand of a gateway relative to its peers.
     *
     * @param shareBefore The share of the demand of the gateways that precede this one by name, from 0 to 1.
     * @param ownShare The share of the demand of this gateway, from 0 to 1.
     * @param gateways The number of gateways that reported recently, including this one.
     * @param rank The position of this gateway by name, from 0.
     */
    record GatewayDemand(double shareBefore, double ownShare, int gateways, int rank) {

        /** The fraction of the demand that is spread evenly, so that an idle gateway can start its first requests. */
        private static final double EVEN_FRACTION = 0.1;

        private static final GatewayDemand ALONE = new GatewayDemand(0, 1, 1, 0);

        /** Returns the demand of a gateway without peers. */
        public static GatewayDemand alone() {
            return ALONE;
        }

        /**
         * Computes the share of a gateway from the demands of all gateways.
         *
         * @param own The name of this gateway.
         * @param demands The requests in flight and waiting, by name of the gateway, including this one.
         */
        public static GatewayDemand of(String own, SortedMap<String, Double> demands) {
            double total =
                    demands.values().stream().mapToDouble(Double::doubleValue).sum();
            double even = 1.0 / demands.size();
            double before = 0;
            int rank = 0;
            for (Map.Entry<String, Double> entry : demands.entrySet()) {
                double demandShare = total <= 0 ? even : entry.getValue() / total;
                double share = EVEN_FRACTION * even + (1 - EVEN_FRACTION) * demandShare;
                if (entry.getKey().equals(own)) {
                    return new GatewayDemand(before, share, demands.size(), rank);
                }
                before += share;
                rank++;
            }
            return ALONE;
        }

        /**
         * Rounds the share of this gateway to whole slots. The shares of all gateways add up to all slots.
         *
         * @param roundingOffset The offset in slots that is added before rounding.
         */
        public int wholeSlots(int slots, double roundingOffset) {
            double until = rank == gateways - 1 ? 1 : shareBefore + ownShare;
            return (int)
                    (Math.floor(until * slots + roundingOffset) - Math.floor(shareBefore * slots + roundingOffset));
        }
    }

    /** Gives each gateway the slots that the others did not use when they last reported. */
    enum ExchangedCounts implements SlotDivision {
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double roundingOffset) {
            return Math.max(0, slots - others);
        }
    }

    /** Gives each gateway the same number of slots, regardless of demand. */
    enum EqualParts implements SlotDivision {
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double roundingOffset) {
            int extra = demand.rank() < slots % demand.gateways() ? 1 : 0;
            return Math.max(1, slots / demand.gateways() + extra);
        }
    }

    /**
     * Gives each gateway the remaining slots while many are free, and its share by demand while few are. With few free
     * slots, gateways that do not know of each other's latest starts would otherwise compete for the same ones.
     */
    enum DemandShare implements SlotDivision {
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double roundingOffset) {
            int free = slots - own - others;
            int share = demand.wholeSlots(slots, roundingOffset);
            return free >= demand.gateways() ? Math.max(share, own + 1) : share;
        }
    }
}
