package org.cranberrygauge.gateway.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cranberrygauge.decision.drain.DrainState;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.routing.BackendTable;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.runtime.blackboard.Blackboard;

/**
 * Transfers the known state of backend servers and peers to the table that requests are dispatched by.
 *
 * <p>Invariants: a backend server that is drained, leaving or failing is not available. Failures and measurements are
 * recorded by any thread and applied by the thread that uses the table.
 */
public final class BackendTableUpdater {

    /** The age at which a peer's in-flight counts are discarded in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    private final Blackboard blackboard;

    private final String host;

    /** The names of the failed backend servers that the table does not know yet. */
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();

    /** The measured token intervals that the table does not know yet. */
    private final Queue<Measurement> measurements = new ConcurrentLinkedQueue<>();

    /** The configured and listed backend servers; replaced as a whole. */
    private volatile List<BackendServer> servers = List.of();

    public BackendTableUpdater(Blackboard blackboard, String host) {
        this.blackboard = blackboard;
        this.host = host;
    }

    /** Records that a backend server failed. May be called by any thread. */
    public void recordFailure(long nowMillis, BackendServer server) {
        failures.add(server.name());
    }

    /** Returns whether a backend server is still configured or listed. May be called by any thread. */
    public boolean isKnown(BackendServer server) {
        return servers.contains(server);
    }

    /** Records the mean time between two tokens of a request in milliseconds. May be called by any thread. */
    public void recordTokenInterval(BackendServer server, double intervalMillis) {
        measurements.add(new Measurement(server.name(), intervalMillis));
    }

    /** Applies the failures and measurements recorded since the last call. */
    void applyRecorded(long nowMillis, BackendTable table) {
        for (String server = failures.poll(); server != null; server = failures.poll()) {
            table.failed(nowMillis, server);
        }
        for (Measurement measurement = measurements.poll(); measurement != null; measurement = measurements.poll()) {
            table.measured(nowMillis, measurement.server(), measurement.intervalMillis());
        }
    }

    /**
     * Applies the configuration, the platform's list, the drains and the reports of the peers.
     *
     * @param nowMillis The monotonic time in milliseconds.
     * @param ownWaiting The number of requests queued at this gateway.
     */
    public void refresh(long nowMillis, BackendTable table, int ownWaiting) {
        DrainState drains = blackboard.log().drains();
        Map<String, BackendServer> known = new LinkedHashMap<>();
        Map<String, Boolean> available = new HashMap<>();
        for (BackendServer server : blackboard.configuration().backendServers()) {
            known.put(server.name(), server);
            available.put(server.name(), !drains.isDrained(server.name()));
        }
        for (ListedBackendServer listed : blackboard.listedBackendServers()) {
            String name = listed.server().name();
            known.put(name, listed.server());
            available.put(name, listed.state() == HostState.LIVE && !drains.isDrained(name));
        }
        List<BackendServer> next = new ArrayList<>(known.values());
        if (!next.equals(servers)) {
            servers = next;
            table.configure(next);
        }
        available.forEach(table::setAvailable);
        applyPeerReports(nowMillis, table, ownWaiting);
    }

    private void applyPeerReports(long nowMillis, BackendTable table, int ownWaiting) {
        Map<String, Integer> others = new HashMap<>();
        TreeMap<String, Double> demands = new TreeMap<>();
        int own = table.inFlight().values().stream().mapToInt(Integer::intValue).sum();
        demands.put(host, (double) (own + ownWaiting));
        for (Map.Entry<String, PeerReport> peer : blackboard.peers().entrySet()) {
            PeerReport report = peer.getValue();
            boolean fresh = nowMillis - report.receivedAtMillis() <= PEER_EXPIRY_MILLIS;
            if (fresh && !peer.getKey().equals(host)) {
                report.inFlight().forEach((server, count) -> others.merge(server, count, Integer::sum));
                demands.put(peer.getKey(), report.demand());
            }
        }
        table.exchange(others, GatewayDemand.of(host, demands));
    }

    /** A measured token interval of a backend server in milliseconds. */
    private record Measurement(String server, double intervalMillis) {}
}
