package org.cranberrygauge.decision.routing;

import org.cranberrygauge.model.backend.BackendServer;

/**
 * What a gateway knows of a backend server when it routes.
 *
 * @param server The backend server.
 * @param ownInFlight The requests in flight from this gateway.
 * @param othersInFlight The requests in flight from its peers, as they last said.
 * @param ownLimit The requests that this gateway may have in flight.
 * @param reportedInFlight The requests that the backend server last reported, discounted by the age of the report.
 * @param slowness The time between tokens relative to that of its peers; 1 while unknown.
 */
public record BackendView(
        BackendServer server,
        int ownInFlight,
        int othersInFlight,
        int ownLimit,
        double reportedInFlight,
        double slowness) {

    /**
     * Returns the requests in flight from all gateways.
     *
     * @return The number.
     */
    public int inFlight() {
        return ownInFlight + othersInFlight;
    }

    /**
     * Returns the best guess of the load.
     *
     * @return The requests in flight, as counted or as reported, whichever is higher.
     */
    public double load() {
        return Math.max(inFlight(), reportedInFlight);
    }
}
