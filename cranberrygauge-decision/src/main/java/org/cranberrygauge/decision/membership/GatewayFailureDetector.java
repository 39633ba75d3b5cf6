package org.cranberrygauge.decision.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.GatewayLeft;

/**
 * Decides which gateways the lease holder declares gone, so that a change can be accepted without them.
 *
 * <p>A gateway that reads that it was declared gone joins again before it admits requests.
 */
public interface GatewayFailureDetector {

    /**
     * Returns the gateways to declare gone.
     *
     * @param hosts The liveness of the members' hosts.
     * @return The records to append.
     */
    List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> hosts);

    /**
     * Declares a gateway gone once the platform no longer lists its host and no gateway has heard from it for a time.
     *
     * <p>Silence alone does not prove a failure, because a gateway that is cut off together with a peer goes on
     * serving. Immutable and thread-safe.
     *
     * @param absenceMillis The time without listing and without contact in milliseconds; longer than the freshness time
     *     and the lag of the platform's list.
     */
    record Unlisted(long absenceMillis) implements GatewayFailureDetector {

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> hosts) {
            return hosts.stream()
                    .filter(HostLiveness::listed)
                    .filter(liveness -> nowMillis - liveness.lastListedMillis() > absenceMillis)
                    .filter(liveness -> nowMillis - liveness.lastReportMillis() > absenceMillis)
                    .map(liveness -> members.onHost(liveness.host()))
                    .flatMap(Optional::stream)
                    .map(member -> new GatewayLeft(member.gateway(), "host_unlisted"))
                    .toList();
        }
    }

    /**
     * Declares a gateway gone once no gateway has heard from it for a time. A baseline that trusts heartbeats alone.
     *
     * <p>Immutable and thread-safe.
     */
    record Silent(long silenceMillis) implements GatewayFailureDetector {

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> hosts) {
            return hosts.stream()
                    .filter(liveness -> nowMillis - liveness.lastReportMillis() > silenceMillis)
                    .map(liveness -> members.onHost(liveness.host()))
                    .flatMap(Optional::stream)
                    .map(member -> new GatewayLeft(member.gateway(), "silent"))
                    .toList();
        }
    }

    /** Declares no gateway gone. Only a new gateway on the same host or an operator replaces one. */
    enum Disabled implements GatewayFailureDetector {
        INSTANCE;

        @Override
        public List<GatewayLeft> decide(long nowMillis, Membership members, Collection<HostLiveness> hosts) {
            return List.of();
        }
    }
}
