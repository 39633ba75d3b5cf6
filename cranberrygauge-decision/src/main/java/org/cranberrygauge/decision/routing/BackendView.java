package org.cranberrygauge.decision.routing;

import org.cranberrygauge.model.backend.BackendServer;

/**
 * A backend server as seen by a routing policy.
 *
 * @param ownInFlight The requests in flight from this gateway.
 * @param othersInFlight The requests in flight from peers, as last reported.
 * @param ownLimit The number of requests that this gateway may have in flight.
 * @param slowness The time between tokens relative to that of the peers; 1 while unknown.
 */
public record BackendView(BackendServer server, int ownInFlight, int othersInFlight, int ownLimit, double slowness) {

    /** Returns the requests in flight from all gateways. */
    public int inFlight() {
        return ownInFlight + othersInFlight;
    }
}
