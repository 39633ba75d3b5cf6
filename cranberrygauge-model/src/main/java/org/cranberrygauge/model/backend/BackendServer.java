package org.cranberrygauge.model.backend;

import java.util.Set;

/**
 * A backend server as configured or as listed by the platform.
 *
 * @param name The name, unique in the deployment.
 * @param address The address of its HTTP interface.
 * @param dataCentre The name of its data centre.
 * @param kind The kind.
 * @param serves The models it runs, or the one service it offers.
 * @param supply How it is supplied.
 * @param slots The number of requests it runs at once.
 * @param checksFencing Whether it refuses orders with an old fencing number.
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

    /** Copies the set of served names. */
    public BackendServer {
        serves = Set.copyOf(serves);
    }

    /**
     * Tells whether this backend server can take a request for a model or service.
     *
     * @param target The model or service.
     * @return Whether it is served here.
     */
    public boolean canServe(String target) {
        return serves.contains(target);
    }
}
