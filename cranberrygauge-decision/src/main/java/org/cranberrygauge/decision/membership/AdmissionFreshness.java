package org.cranberrygauge.decision.membership;

import java.util.Collection;

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
     * @param lastLogEndMillis The monotonic time at which it last read the log's end.
     * @param freshnessMillis The longest time without news of the log.
     * @param peers The last report of each peer.
     * @param expectedPeers The number of peers that joined and did not leave.
     */
    record View(long lastLogEndMillis, long freshnessMillis, Collection<PeerReport> peers, int expectedPeers) {}

    /**
     * Admits while the view is fresh, or while a peer is in touch that is no fresher; stops when this gateway is cut off
     * from the log and from every peer although others are expected.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Default implements AdmissionFreshness {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean mayAdmit(long nowMillis, View view) {
            if (nowMillis - view.lastLogEndMillis() <= view.freshnessMillis()) {
                return true;
            }
            if (view.expectedPeers() == 0) {
                return true;
            }
            return view.peers().stream().anyMatch(peer -> nowMillis - peer.heardAtMillis() <= view.freshnessMillis());
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
