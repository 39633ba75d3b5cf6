package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.List;

/** Decides whether a gateway's view of the configuration is recent enough to admit requests by the keys it knows. */
public interface AdmissionFreshness {

    /** Returns whether a gateway with the given view may admit requests now. */
    boolean mayAdmit(long nowMillis, View view);

    /**
     * The view that a gateway has of the log and of its peers. Times are monotonic, in milliseconds.
     *
     * @param lastLogEndMillis The time at which the gateway, or a peer for it, last read the log to its end.
     * @param freshnessMillis The longest time without news of the log.
     * @param configurationVersion The version in force at this gateway.
     * @param logOffset The offset up to which this gateway has read the log.
     * @param member Whether this gateway is a member, as far as it has read the log.
     * @param otherMembers The number of other members, as far as this gateway has read the log.
     * @param peers The last report of each peer.
     */
    record View(
            long lastLogEndMillis,
            long freshnessMillis,
            long configurationVersion,
            long logOffset,
            boolean member,
            int otherMembers,
            Collection<PeerReport> peers) {

        public View {
            peers = List.copyOf(peers);
        }

        /** Returns whether this gateway knew the whole log within the freshness time. */
        boolean isFresh(long nowMillis) {
            return nowMillis - lastLogEndMillis <= freshnessMillis;
        }

        /** Returns the peers whose last report was received within the freshness time. */
        List<PeerReport> reachable(long nowMillis) {
            return peers.stream()
                    .filter(peer -> nowMillis - peer.receivedAtMillis() <= freshnessMillis)
                    .toList();
        }

        /**
         * Returns whether a peer knows a newer configuration or, if its view is fresh, more of the log, so that this
         * gateway must catch up before it admits.
         */
        boolean isBehind(PeerReport peer) {
            boolean peerFresh = peer.logAgeMillis() <= freshnessMillis;
            return peer.configurationVersion() > configurationVersion || peerFresh && peer.logOffset() > logOffset;
        }
    }

    /**
     * Admits while the view is fresh, or while at least one peer is reachable and none of the reachable ones is ahead
     * of this gateway. Stops while this gateway is cut off from the log and from every peer although there are other
     * members, and while it is not a member itself.
     *
     * <p>A peer that is stopping or is not a member yet counts as reachable, because it shows that the network works.
     * Reports received before a pause of the process are too old to count, so a resumed gateway waits for new ones.
     * Stateless and thread-safe.
     */
    enum Default implements AdmissionFreshness {
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            if (!view.member()) {
                return false;
            }
            if (view.isFresh(nowMillis) || view.otherMembers() == 0) {
                return true;
            }
            List<PeerReport> reachable = view.reachable(nowMillis);
            return !reachable.isEmpty() && reachable.stream().noneMatch(view::isBehind);
        }
    }

    /**
     * Admits while the view is fresh, or while a majority of the members is reachable, including this one.
     *
     * <p>Stateless and thread-safe.
     */
    enum Majority implements AdmissionFreshness {
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            if (!view.member()) {
                return false;
            }
            int reachableCount = view.reachable(nowMillis).size() + 1;
            return view.isFresh(nowMillis) || 2 * reachableCount > view.otherMembers() + 1;
        }
    }

    /**
     * Admits only while the view is fresh, so that a log outage stops all traffic.
     *
     * <p>Stateless and thread-safe.
     */
    enum Strict implements AdmissionFreshness {
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            return view.member() && view.isFresh(nowMillis);
        }
    }

    /** Always admits. A baseline without protection. */
    enum Disabled implements AdmissionFreshness {
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            return true;
        }
    }
}
