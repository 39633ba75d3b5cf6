package org.cranberrygauge.model.backend;

import java.util.Set;

/**
 * A backend server as configured or as listed by the platform.
 *
 * @param name The name, unique in the deployment.
 * @param address The address of its HTTP endpoint.
 * @param serves The models that the server runs, or the one service that it offers.
 * @param supply The kind of capacity that the server was ordered as.
 * @param slots The number of requests that the server runs concurrently.
 * @param checksFencing Whether the server rejects orders with an outdated fencing number.
 */
public record BackendServer(
        String name,
        NetworkAddress address,
        String dataCentre,
        BackendKind kind,
        Set<String> serves,
        Supply supply,
        int slots,
        boolean checksFencing) {

    public BackendServer {
        serves = Set.copyOf(serves);
    }

    /** Returns whether this backend server serves a model or service. */
    public boolean canServe(String target) {
        return serves.contains(target);
    }
}
