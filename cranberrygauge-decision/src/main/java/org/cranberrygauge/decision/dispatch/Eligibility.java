package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.model.backend.BackendServer;

/** Tells on which backend servers a request may start, beyond those with a free slot. */
public interface Eligibility {

    /**
     * Tells whether the request is restricted at present.
     *
     * @return Whether some backend server may be denied.
     */
    boolean isRestricted();

    /**
     * Tells whether the request may start on a backend server.
     *
     * @param server The backend server.
     * @param healthyServers The number of backend servers of the target that may get work, free or not.
     * @return Whether it may.
     */
    boolean allows(BackendServer server, int healthyServers);

    /**
     * Allows every backend server.
     *
     * <p>Stateless and safe for use by several threads.
     */
    enum Any implements Eligibility {
        /** The only instance. */
        INSTANCE;

        @Override
        public boolean isRestricted() {
            return false;
        }

        @Override
        public boolean allows(BackendServer server, int healthyServers) {
            return true;
        }
    }
}
