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
import org.cranberrygauge.runtime.state.ProcessState;

/**
 * Brings what the blackboard says of backend servers and peers into the table by which requests are dispatched.
 *
 * <p>Invariants: a drained, leaving or failing backend server is not available. Failures and measurements are noted from
 * any thread; they are applied by the thread that uses the table.
 */
public final class BackendTableUpdater {

    /** The age after which a peer's counts are dropped in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The host of this gateway. */
    private final String host;

    /** The names of the backend servers that failed and were not yet marked. */
    private final Queue<String> failures = new ConcurrentLinkedQueue<>();

    /** The measurements that were not yet taken in. */
    private final Queue<Measurement> measurements = new ConcurrentLinkedQueue<>();

    /** The servers of the table, replaced whole. */
    private volatile List<BackendServer> servers = List.of();

    /**
     * Creates a board.
     *
     * @param blackboard The blackboard.
     * @param host The host of this gateway.
     */
    public BackendTableUpdater(ProcessState blackboard, String host) {
        this.blackboard = blackboard;
        this.host = host;
    }

    /**
     * Notes that a backend server failed, from any thread.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param server The backend server.
     */
    public void failed(long nowMillis, BackendServer server) {
        failures.add(server.name());
    }

    /**
     * Tells whether a backend server is still among those that are configured or listed, from any thread.
     *
     * @param server The backend server.
     * @return Whether it is.
     */
    public boolean isKnown(BackendServer server) {
        return servers.contains(server);
    }

    /**
     * Notes the speed of a backend server, from any thread.
     *
     * @param server The backend server.
     * @param intervalMillis The mean time between the tokens of a request in milliseconds.
     */
    public void measured(BackendServer server, double intervalMillis) {
        measurements.add(new Measurement(server.name(), intervalMillis));
    }

    /**
     * Applies the noted failures and measurements.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param table The table.
     */
    void applyNoted(long nowMillis, BackendTable table) {
        for (String server = failures.poll(); server != null; server = failures.poll()) {
            table.failed(nowMillis, server);
        }
        for (Measurement noted = measurements.poll(); noted != null; noted = measurements.poll()) {
            table.measured(nowMillis, noted.server(), noted.intervalMillis());
        }
    }

    /**
     * Applies what the blackboard says.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param table The table.
     * @param ownWaiting The number of requests that wait at this gateway.
     */
    public void refresh(long nowMillis, BackendTable table, int ownWaiting) {
        DrainState drains = blackboard.log().drains();
        Map<String, BackendServer> known = new LinkedHashMap<>();
        Map<String, Boolean> available = new HashMap<>();
        for (BackendServer server : blackboard.configuration().backendServers()) {
            known.put(server.name(), server);
            available.put(server.name(), !drains.isDrained(server.name()));
        }
        for (ListedBackendServer listed : blackboard.listed()) {
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
        exchange(nowMillis, table, ownWaiting);
    }

    /**
     * Applies what the peers said.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param table The table.
     * @param ownWaiting The number of requests that wait at this gateway.
     */
    private void exchange(long nowMillis, BackendTable table, int ownWaiting) {
        Map<String, Integer> others = new HashMap<>();
        TreeMap<String, Double> demands = new TreeMap<>();
        int own = table.inFlight().values().stream().mapToInt(Integer::intValue).sum();
        demands.put(host, (double) (own + ownWaiting));
        for (Map.Entry<String, PeerReport> peer : blackboard.peers().entrySet()) {
            PeerReport report = peer.getValue();
            boolean fresh = nowMillis - report.heardAtMillis() <= PEER_EXPIRY_MILLIS;
            if (fresh && !peer.getKey().equals(host)) {
                report.inFlight().forEach((server, count) -> others.merge(server, count, Integer::sum));
                demands.put(peer.getKey(), report.demand());
            }
        }
        table.exchange(others, GatewayDemand.of(host, demands));
    }

    /**
     * A measured speed.
     *
     * @param server The name of the backend server.
     * @param intervalMillis The mean time between tokens in milliseconds.
     */
    private record Measurement(String server, double intervalMillis) {}
}
