package org.cranberrygauge.decision.membership;

import java.util.Map;

/**
 * What a peer last said of itself.
 *
 * @param gateway The incarnation of the peer.
 * @param heardAtMillis The monotonic time of this process at which it was heard.
 * @param configurationVersion The version in force at the peer.
 * @param logOffset The offset up to which the peer has read the log.
 * @param logAgeMillis The time since the peer read the end of the log, when it spoke.
 * @param inFlight The requests in flight from the peer by backend server.
 * @param draining Whether the peer stops.
 */
public record PeerReport(
        String gateway,
        long heardAtMillis,
        long configurationVersion,
        long logOffset,
        long logAgeMillis,
        Map<String, Integer> inFlight,
        boolean draining) {

    /** Copies the map. */
    public PeerReport {
        inFlight = Map.copyOf(inFlight);
    }
}
