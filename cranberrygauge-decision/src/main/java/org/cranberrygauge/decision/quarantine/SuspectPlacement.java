package org.cranberrygauge.decision.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import org.cranberrygauge.model.customer.KeyDigest;

/**
 * Assigns backend servers to gateways, so that suspects of two gateways that start at the same moment do not run on the
 * same server.
 *
 * <p>Stateless and thread-safe.
 */
public final class SuspectPlacement {

    /**
     * The time in milliseconds for which a gateway uses only its own servers. Within it, peers report where their
     * suspects run.
     */
    private static final long EXCLUSIVE_PLACEMENT_MILLIS = 500;

    private SuspectPlacement() {}

    /**
     * Returns whether a gateway may start a suspect on a backend server while the choices of its peers are not known
     * yet.
     *
     * @param waitedMillis The time for which the suspect has waited, in milliseconds.
     * @param gateways The incarnations of all reachable gateways, including this one.
     */
    public static boolean mayStart(long waitedMillis, String gateway, Collection<String> gateways, String server) {
        if (waitedMillis >= EXCLUSIVE_PLACEMENT_MILLIS) {
            return true;
        }
        return gateways.stream()
                .max(Comparator.comparing(candidate -> weight(candidate, server)))
                .filter(owner -> !owner.equals(gateway))
                .isEmpty();
    }

    /** Returns the weight of a gateway for a backend server. The gateway with the highest weight owns the server. */
    private static String weight(String gateway, String server) {
        return KeyDigest.digest((gateway + '\n' + server).getBytes(StandardCharsets.UTF_8));
    }
}
