package org.cranberrygauge.decision.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * Divides backend servers among gateways, so that suspects of two gateways that start at the same moment do not meet.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class SuspectPlacement {

    /** The time for which a gateway keeps to its own servers, in which peers tell where their suspects run. */
    private static final long OWN_SERVERS_MILLIS = 500;

    /** Prevents instances. */
    private SuspectPlacement() {}

    /**
     * Tells whether a gateway may start a suspect on a backend server, as far as its peers' choices are not known yet.
     *
     * @param waitedMillis The time for which the suspect has waited in milliseconds.
     * @param gateway The incarnation of the gateway.
     * @param gateways The incarnations of all gateways that are in touch, this one included.
     * @param server The name of the backend server.
     * @return Whether it may.
     */
    public static boolean mayStart(long waitedMillis, String gateway, Collection<String> gateways, String server) {
        if (waitedMillis >= OWN_SERVERS_MILLIS) {
            return true;
        }
        return gateways.stream()
                .max(Comparator.comparing(candidate -> weight(candidate, server)))
                .filter(owner -> !owner.equals(gateway))
                .isEmpty();
    }

    /**
     * Returns the weight of a gateway for a backend server; the highest owns it.
     *
     * @param gateway The incarnation of the gateway.
     * @param server The name of the backend server.
     * @return The weight.
     */
    private static String weight(String gateway, String server) {
        return KeyDigest.digest((gateway + '\n' + server).getBytes(StandardCharsets.UTF_8));
    }
}
