package org.cranberrygauge.decision.share;

import java.util.Map;
import java.util.SortedMap;

/**
 * Decides how many requests one gateway may have in flight at a backend server.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface SlotDivision {

    /**
     * Returns the limit of this gateway.
     *
     * @param slots The number of requests that the server runs at once.
     * @param own The requests in flight from this gateway.
     * @param others The requests in flight from its peers, as they last said.
     * @param demand What this gateway and its peers ask for.
     * @param rotation The part of a slot, from 0 to 1, by which roundings at this server are shifted.
     * @return The limit.
     */
    int ownLimit(int slots, int own, int others, GatewayDemand demand, double rotation);

    /**
     * What a gateway and its peers ask for.
     *
     * @param shareBefore The share of the demand that is asked for by gateways whose names come before, from 0 to 1.
     * @param ownShare The share of the demand that this gateway asks for, from 0 to 1.
     * @param gateways The number of gateways that were heard of lately, this one included.
     * @param rank The position of this gateway among them by name, from 0.
     */
    record GatewayDemand(double shareBefore, double ownShare, int gateways, int rank) {

        /** The part of all demand that is spread evenly, so that a quiet gateway can start its first requests. */
        private static final double EVEN_PART = 0.1;

        /** The demand of a gateway without peers. */
        private static final GatewayDemand ALONE = new GatewayDemand(0, 1, 1, 0);

        /**
         * Returns the demand of a gateway without peers.
         *
         * @return The demand.
         */
        public static GatewayDemand alone() {
            return ALONE;
        }

        /**
         * Compares the demands of all gateways.
         *
         * @param own The name of this gateway.
         * @param demands The work in flight and waiting by name of the gateway, this one included, in the order of names.
         * @return The demand.
         */
        public static GatewayDemand of(String own, SortedMap<String, Double> demands) {
            double total =
                    demands.values().stream().mapToDouble(Double::doubleValue).sum();
            double even = 1.0 / demands.size();
            double before = 0;
            int rank = 0;
            for (Map.Entry<String, Double> entry : demands.entrySet()) {
                double asked = total <= 0 ? even : entry.getValue() / total;
                double share = EVEN_PART * even + (1 - EVEN_PART) * asked;
                if (entry.getKey().equals(own)) {
                    return new GatewayDemand(before, share, demands.size(), rank);
                }
                before += share;
                rank++;
            }
            return ALONE;
        }

        /**
         * Rounds the share of this gateway to whole slots, so that the shares of all gateways add up to all slots.
         *
         * @param slots The number of slots.
         * @param rotation The part of a slot by which roundings are shifted.
         * @return The number of slots of this gateway.
         */
        public int wholeSlots(int slots, double rotation) {
            double until = rank == gateways - 1 ? 1 : shareBefore + ownShare;
            return (int) (Math.floor(until * slots + rotation) - Math.floor(shareBefore * slots + rotation));
        }
    }

    /** Lets each gateway use what the others did not use when they last spoke. */
    enum ExchangedCounts implements SlotDivision {
        /** The only instance. */
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double rotation) {
            return Math.max(0, slots - others);
        }
    }

    /** Gives each gateway the same part, whatever it needs. */
    enum EqualParts implements SlotDivision {
        /** The only instance. */
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double rotation) {
            int extra = demand.rank() < slots % demand.gateways() ? 1 : 0;
            return Math.max(1, slots / demand.gateways() + extra);
        }
    }

    /**
     * Lets each gateway use what the others leave while much is free, and its share by demand of the slots when little is,
     * where gateways that don't know of each other's latest starts would compete.
     */
    enum DemandShare implements SlotDivision {
        /** The only instance. */
        INSTANCE;

        @Override
        public int ownLimit(int slots, int own, int others, GatewayDemand demand, double rotation) {
            int free = slots - own - others;
            int share = demand.wholeSlots(slots, rotation);
            return free >= demand.gateways() ? Math.max(share, own + 1) : share;
        }
    }
}
