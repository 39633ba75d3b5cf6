package org.cranberrygauge.decision.membership;

import java.util.Map;

/**
 * The last report of a peer about itself.
 *
 * @param gateway The incarnation of the peer.
 * @param receivedAtMillis The monotonic time of this process at which the report was received, in milliseconds.
 * @param configurationVersion The version in force at the peer.
 * @param logOffset The offset up to which the peer has read the log.
 * @param logAgeMillis The time since the peer read the end of the log, as of the report, in milliseconds.
 * @param inFlight The requests in flight from the peer by backend server.
 * @param draining Whether the peer is stopping.
 * @param waiting The requests that wait at the peer by class.
 */
public record PeerReport(
        String gateway,
        long receivedAtMillis,
        long configurationVersion,
        long logOffset,
        long logAgeMillis,
        Map<String, Integer> inFlight,
        boolean draining,
        Map<String, Integer> waiting) {

    public PeerReport {
        inFlight = Map.copyOf(inFlight);
        waiting = Map.copyOf(waiting);
    }

    /** Creates the report of a peer without waiting requests. */
    public PeerReport(
            String gateway,
            long receivedAtMillis,
            long configurationVersion,
            long logOffset,
            long logAgeMillis,
            Map<String, Integer> inFlight,
            boolean draining) {
        this(gateway, receivedAtMillis, configurationVersion, logOffset, logAgeMillis, inFlight, draining, Map.of());
    }

    /**
     * Returns the demand of the peer.
     *
     * @return The number of requests in flight and waiting.
     */
    public double demand() {
        int requests = inFlight.values().stream().mapToInt(Integer::intValue).sum();
        return requests + waiting.values().stream().mapToInt(Integer::intValue).sum();
    }
}
