package org.cranberrygauge.decision.routing;

import org.cranberrygauge.model.backend.BackendServer;

/**
 * What a gateway knows of a backend server when it routes.
 *
 * @param server The backend server.
 * @param ownInFlight The requests in flight from this gateway.
 * @param othersInFlight The requests in flight from its peers, as they last said.
 * @param available Whether it may get new work.
 */
public record BackendView(BackendServer server, int ownInFlight, int othersInFlight, boolean available) {

    /**
     * Returns the requests in flight from all gateways.
     *
     * @return The number.
     */
    public int inFlight() {
        return ownInFlight + othersInFlight;
    }

    /**
     * Tells whether a slot is free.
     *
     * @return Whether new work may start here.
     */
    public boolean hasFreeSlot() {
        return available && inFlight() < server.slots();
    }
}
