package org.cranberrygauge.proxy.leader;

import io.vertx.core.Future;
import java.util.Map;

/**
 * Takes what one host does for all.
 *
 * <p>Safe for use by several threads. A call without an answer may still be carried out later.
 */
public interface ControlPlaneClient {

    /**
     * Reports the figures of a usage window.
     *
     * @param fencingToken The fencing token.
     * @param window The window.
     * @param byCustomer The figures.
     * @return What the receiver said.
     */
    Future<ControlPlaneOutcome> reportUsage(long fencingToken, long window, Map<String, Long> byCustomer);

    /**
     * Orders backend servers.
     *
     * @param fencingToken The fencing token.
     * @param order The order.
     * @return What the receiver said.
     */
    Future<ControlPlaneOutcome> order(long fencingToken, BackendOrder order);

    /** What a receiver says. */
    enum ControlPlaneOutcome {
        /** The call was carried out. */
        ACCEPTED,
        /** A higher fencing token has been used. */
        FENCED,
        /** The call was turned away, or what was ordered can't be had. */
        TURNED_AWAY,
        /** There was no answer. */
        NO_ANSWER
    }
}
