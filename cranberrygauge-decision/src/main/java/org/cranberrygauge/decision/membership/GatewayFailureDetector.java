package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.GatewayLeft;

/**
 * Decides which gateways the lease holder declares gone, so that a change can be accepted without them.
 *
 * <p>A gateway that was declared gone and reads of it joins again before it admits.
 */
public interface GatewayFailureDetector {

    /**
     * Decides which gateways are gone.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param members The gateways as they stand in the log.
     * @param sightings What is known of their hosts.
     * @return The records to append.
     */
    List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> sightings);

    /**
     * Declares a gateway gone once the platform no longer lists its host and nobody heard it for a time.
     *
     * <p>Silence alone is no proof, since a gateway that is cut off together with a peer goes on serving. Immutable and safe
     * for use by several threads.
     *
     * @param absenceMillis The time without either in milliseconds; longer than the freshness bound and the list's lag.
     */
    record Unlisted(long absenceMillis) implements GatewayFailureDetector {

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> sightings) {
            return sightings.stream()
                    .filter(HostLiveness::listed)
                    .filter(sighting -> nowMillis - sighting.lastListedMillis() > absenceMillis)
                    .filter(sighting -> nowMillis - sighting.lastHeardMillis() > absenceMillis)
                    .map(sighting -> members.onHost(sighting.host()))
                    .flatMap(Optional::stream)
                    .map(member -> new GatewayLeft(member.gateway(), "host_unlisted"))
                    .toList();
        }
    }

    /**
     * Declares a gateway gone once nobody heard it for a time, which is the baseline that trusts heartbeats alone.
     *
     * <p>Immutable and safe for use by several threads.
     *
     * @param silenceMillis The time in milliseconds.
     */
    record Silent(long silenceMillis) implements GatewayFailureDetector {

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> sightings) {
            return sightings.stream()
                    .filter(sighting -> nowMillis - sighting.lastHeardMillis() > silenceMillis)
                    .map(sighting -> members.onHost(sighting.host()))
                    .flatMap(Optional::stream)
                    .map(member -> new GatewayLeft(member.gateway(), "silent"))
                    .toList();
        }
    }

    /** Declares none gone; only a new gateway on the same host or an operator replaces one. */
    enum Disabled implements GatewayFailureDetector {
        /** The only instance. */
        INSTANCE;

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> sightings) {
            return List.of();
        }
    }
}
