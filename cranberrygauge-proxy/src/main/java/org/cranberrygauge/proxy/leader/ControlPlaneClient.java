package org.cranberrygauge.proxy.leader;

import io.vertx.core.Future;
import java.util.Map;

/**
 * The control-plane calls that only the leader makes.
 *
 * <p>Thread-safe. A call without a response may still be carried out later.
 */
public interface ControlPlaneClient {

    /**
     * Reports the usage of a window.
     *
     * @param fencingToken The leader's fencing token.
     * @param usageWindow The number of the usage window.
     * @param byCustomer The number of requests by customer.
     */
    Future<ControlPlaneOutcome> reportUsage(long fencingToken, long usageWindow, Map<String, Long> byCustomer);

    /**
     * Orders backend servers.
     *
     * @param fencingToken The leader's fencing token.
     */
    Future<ControlPlaneOutcome> order(long fencingToken, BackendOrder order);

    /** The outcome of a control-plane call. */
    enum ControlPlaneOutcome {
        /** The call was carried out. */
        ACCEPTED,
        /** The call was rejected since a higher fencing token had been used. */
        FENCED,
        /** The call was rejected, or the ordered capacity is unavailable. */
        TURNED_AWAY,
        /** There was no response; the call may have been carried out. */
        NO_ANSWER
    }
}
