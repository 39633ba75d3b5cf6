package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.model.backend.BackendServer;

/** Restricts the backend servers on which a request may start, beyond those with a free slot. */
public interface Eligibility {

    /** Returns whether any restriction applies to the request now. */
    boolean isRestricted();

    /**
     * Returns whether the request may start on a backend server.
     *
     * @param healthyServers The number of backend servers of the target that may get work, with or without a free slot.
     */
    boolean allows(BackendServer server, int healthyServers);

    /**
     * Allows every backend server.
     *
     * <p>Stateless and thread-safe.
     */
    enum Any implements Eligibility {
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
