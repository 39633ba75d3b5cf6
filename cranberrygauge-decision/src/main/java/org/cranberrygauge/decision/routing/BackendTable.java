package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.share.SlotDivision;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * The state that one gateway keeps of all backend servers.
 *
 * <p>Invariants: a server is a candidate if and only if it is available and this gateway has fewer requests in flight
 * there than its limit; starts, ends and choices take time independent of the number of servers. Not thread-safe;
 * callers serialize access.
 */
public final class BackendTable {

    /** The time in milliseconds for which a server gets no work after a failure. */
    private static final long COOLDOWN_MILLIS = 1_000;

    private final SlotDivision division;

    private final OutlierDetection outlierDetection;

    /** The servers by name. */
    private final Map<String, BackendEntry> entries = new HashMap<>();

    private final Map<String, TargetServers> byTarget = new HashMap<>();

    /** The demand of this gateway relative to its peers. */
    private GatewayDemand demand = GatewayDemand.alone();

    public BackendTable(SlotDivision division, OutlierDetection outlierDetection) {
        this.division = division;
        this.outlierDetection = outlierDetection;
    }

    /** Replaces the set of servers. The state of servers that remain is kept. */
    public void configure(List<BackendServer> servers) {
        Map<String, BackendEntry> before = new HashMap<>(entries);
        entries.clear();
        byTarget.clear();
        for (BackendServer server : servers) {
            BackendEntry entry = before.getOrDefault(server.name(), new BackendEntry(server));
            entry.replace(server);
            entries.put(server.name(), entry);
            for (String target : server.serves()) {
                byTarget.computeIfAbsent(target, name -> new TargetServers()).add(entry);
            }
        }
        entries.values().forEach(this::place);
    }

    /** Sets whether a server may get new work. */
    public void setAvailable(String server, boolean available) {
        BackendEntry entry = entries.get(server);
        if (entry != null && entry.available != available) {
            entry.available = available;
            place(entry);
        }
    }

    /**
     * Updates the table with the reports of the peers.
     *
     * @param othersInFlight The requests in flight from all peers by server.
     * @param gatewayDemand The demand of this gateway relative to its peers.
     */
    public void exchange(Map<String, Integer> othersInFlight, GatewayDemand gatewayDemand) {
        demand = gatewayDemand;
        for (BackendEntry entry : entries.values()) {
            entry.peersInFlight = othersInFlight.getOrDefault(entry.server.name(), 0);
            place(entry);
        }
    }

    /**
     * Adds a sample of the time between tokens on a server.
     *
     * @param intervalMillis The mean time between the tokens of a request in milliseconds.
     */
    public void measured(long nowMillis, String server, double intervalMillis) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.measured(nowMillis, intervalMillis);
        }
    }

    /** Records the failure of a server, which then gets no work for a cool-down period. */
    public void failed(long nowMillis, String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.cooldownUntilMillis = nowMillis + COOLDOWN_MILLIS;
            place(entry);
        }
    }

    /** Ends the cool-down periods that are over. */
    public void refresh(long nowMillis) {
        for (BackendEntry entry : entries.values()) {
            if (entry.cooldownUntilMillis != 0 && entry.cooldownUntilMillis <= nowMillis) {
                entry.cooldownUntilMillis = 0;
                place(entry);
            }
        }
    }

    /**
     * Compares the speeds of the servers of each target and ejects or readmits servers.
     *
     * @return The servers that were ejected or readmitted.
     */
    public List<Ejection> compare(long nowMillis) {
        List<Ejection> changes = new ArrayList<>();
        for (TargetServers servers : byTarget.values()) {
            changes.addAll(outlierDetection.compare(nowMillis, servers.all()));
        }
        entries.values().forEach(this::place);
        return changes;
    }

    /** Counts a request in flight on a server. Has no effect if the server is unknown. */
    public void started(String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.ownInFlight++;
            place(entry);
        }
    }

    /** Counts a request on a server as ended. Has no effect if the server is unknown. */
    public void ended(String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.ownInFlight = Math.max(0, entry.ownInFlight - 1);
            place(entry);
        }
    }

    /**
     * Returns the requests in flight from this gateway.
     *
     * @return The number of requests by server, without servers that have none.
     */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> counts = new HashMap<>();
        for (BackendEntry entry : entries.values()) {
            if (entry.ownInFlight > 0) {
                counts.put(entry.server.name(), entry.ownInFlight);
            }
        }
        return counts;
    }

    /** Returns the servers of a target that can take a request now. */
    public Candidates candidates(String target) {
        TargetServers servers = byTarget.get(target);
        return servers == null ? TargetServers.NONE : servers;
    }

    /** Recomputes the limit of a server and moves it between the free and the full servers. */
    private void place(BackendEntry entry) {
        int limit = division.ownLimit(
                entry.server.slots(), entry.ownInFlight, entry.peersInFlight, demand, entry.roundingOffset);
        entry.ownLimit = Math.min(limit, entry.readmissionLimit);
        boolean free = entry.available && entry.cooldownUntilMillis == 0 && entry.ownInFlight < entry.ownLimit;
        if (free == entry.free) {
            return;
        }
        entry.free = free;
        for (String target : entry.server.serves()) {
            byTarget.get(target).place(entry);
        }
    }

    /**
     * A server that was ejected or readmitted.
     *
     * @param ejected {@code true} if the server was ejected, {@code false} if it was readmitted.
     * @param slowness The time between tokens relative to that of the peers.
     */
    public record Ejection(String server, boolean ejected, double slowness) {}
}
