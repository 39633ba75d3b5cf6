package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.List;

/** Decides whether a gateway may admit requests by the keys it knows. */
public interface AdmissionFreshness {

    /**
     * Decides whether this gateway may admit requests.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param view What this gateway knows.
     * @return Whether it may admit requests.
     */
    boolean mayAdmit(long nowMillis, View view);

    /**
     * What a gateway knows of the log and of its peers.
     *
     * @param lastLogEndMillis The monotonic time at which it last knew all that the log held, read by itself or by a peer.
     * @param freshnessMillis The longest time without news of the log.
     * @param configurationVersion The version in force at this gateway.
     * @param logOffset The offset up to which it has read the log.
     * @param member Whether it is a member as far as it has read the log.
     * @param otherMembers The number of other members as far as it has read the log.
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

        /** Copies the reports. */
        public View {
            peers = List.copyOf(peers);
        }

        /**
         * Tells whether this gateway knew all that the log held within the longest time.
         *
         * @param nowMillis The present monotonic time in milliseconds.
         * @return Whether it did.
         */
        boolean isFresh(long nowMillis) {
            return nowMillis - lastLogEndMillis <= freshnessMillis;
        }

        /**
         * Returns the peers that were heard within the longest time.
         *
         * @param nowMillis The present monotonic time in milliseconds.
         * @return Their reports.
         */
        List<PeerReport> inTouch(long nowMillis) {
            return peers.stream()
                    .filter(peer -> nowMillis - peer.heardAtMillis() <= freshnessMillis)
                    .toList();
        }

        /**
         * Tells whether a peer knows something of the log that this gateway must take over first.
         *
         * @param peer The report of the peer.
         * @return Whether it does.
         */
        boolean isBehind(PeerReport peer) {
            boolean peerFresh = peer.logAgeMillis() <= freshnessMillis;
            return peer.configurationVersion() > configurationVersion || peerFresh && peer.logOffset() > logOffset;
        }
    }

    /**
     * Admits while the view is fresh, or while a peer is in touch and none that is knows more; stops when this gateway is
     * cut off from the log and from every peer although others are members, and while it is no member itself.
     *
     * <p>A peer that stops or is no member yet counts as in touch: it shows that the network carries. What was heard before
     * a pause of the process is too old to count, so that a thawed gateway waits for news. Stateless and safe for use by
     * several threads.
     */
    enum Default implements AdmissionFreshness {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            if (!view.member()) {
                return false;
            }
            if (view.isFresh(nowMillis) || view.otherMembers() == 0) {
                return true;
            }
            List<PeerReport> inTouch = view.inTouch(nowMillis);
            return !inTouch.isEmpty() && inTouch.stream().noneMatch(view::isBehind);
        }
    }

    /**
     * Admits while the view is fresh, or while more than half of the members are in touch, this one included.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Majority implements AdmissionFreshness {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            if (!view.member()) {
                return false;
            }
            int reached = view.inTouch(nowMillis).size() + 1;
            return view.isFresh(nowMillis) || 2 * reached > view.otherMembers() + 1;
        }
    }

    /**
     * Admits only while the view is fresh, so that a log outage stops all traffic.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Strict implements AdmissionFreshness {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            return view.member() && view.isFresh(nowMillis);
        }
    }

    /** Always admits, which is the baseline without protection. */
    enum Disabled implements AdmissionFreshness {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            return true;
        }
    }
}
