package org.cranberrygauge.proxy.routing;

import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.engine.PrefillTokens;

/**
 * The load that the other hosts cause at backend servers, by their last reports. Immutable.
 *
 * @param byBackend The work by incarnation of the backend server.
 * @param hosts The number of hosts that accept requests, including this one.
 * @param prefillByPool The recent prefill work by pool.
 * @param speedRatios The ratios of predicted times by incarnation, one for each host that has observed it lately.
 */
public record PeerLoads(
        Map<String, Work> byBackend,
        int hosts,
        Map<String, PrefillTokens> prefillByPool,
        Map<String, List<Double>> speedRatios) {

    public static final PeerLoads NO_PEERS = new PeerLoads(Map.of(), 1);

    public PeerLoads {
        byBackend = Map.copyOf(byBackend);
        prefillByPool = Map.copyOf(prefillByPool);
        speedRatios = Map.copyOf(speedRatios);
    }

    /** Creates the load of hosts that report neither their prefill work nor the speed of servers. */
    public PeerLoads(Map<String, Work> byBackend, int hosts) {
        this(byBackend, hosts, Map.of(), Map.of());
    }

    public Work at(String incarnation) {
        return byBackend.getOrDefault(incarnation, Work.NONE);
    }

    /** Returns the recent prefill work of a pool. */
    PrefillTokens prefill(String pool) {
        return prefillByPool.getOrDefault(pool, PrefillTokens.NONE);
    }

    /**
     * The requests in flight at a backend server.
     *
     * @param running The number of requests.
     * @param unreadTokens The uncached prompt tokens of requests without a first event so far.
     * @param heldTokens The KV-cache tokens that the requests occupy.
     * @param shortRunning The number of requests with short prompts.
     */
    public record Work(int running, long unreadTokens, long heldTokens, int shortRunning) {

        public static final Work NONE = new Work(0, 0, 0, 0);

        /** Returns the sum of this work and another, component by component. */
        public Work plus(Work other) {
            return new Work(
                    running + other.running,
                    unreadTokens + other.unreadTokens,
                    heldTokens + other.heldTokens,
                    shortRunning + other.shortRunning);
        }
    }
}
