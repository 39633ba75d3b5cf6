package org.cranberrygauge.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.share.SlotDivision;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * What one gateway knows of all backend servers.
 *
 * <p>Invariants: a server is a candidate exactly while it is available and this gateway has fewer requests in flight
 * there than its limit; a start, an end and a choice take time that doesn't grow with the number of servers. Used by one
 * thread at a time.
 */
public final class BackendTable {

    /** The time for which a server gets no work after a failure in milliseconds. */
    private static final long COOLDOWN_MILLIS = 1_000;

    /** The division of slots between gateways. */
    private final SlotDivision division;

    /** The comparison of speeds. */
    private final OutlierDetection speedRule;

    /** The servers by name. */
    private final Map<String, BackendEntry> entries = new HashMap<>();

    /** The servers by target. */
    private final Map<String, TargetServers> byTarget = new HashMap<>();

    /** What this gateway and its peers ask for. */
    private GatewayDemand demand = GatewayDemand.alone();

    /**
     * Creates a table.
     *
     * @param division The division of slots between gateways.
     * @param speedRule The comparison of speeds.
     */
    public BackendTable(SlotDivision division, OutlierDetection speedRule) {
        this.division = division;
        this.speedRule = speedRule;
    }

    /**
     * Replaces the set of servers, keeping what is known of those that stay.
     *
     * @param servers The servers.
     */
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

    /**
     * Sets whether a server may get new work.
     *
     * @param server The name of the server.
     * @param available Whether it may.
     */
    public void setAvailable(String server, boolean available) {
        BackendEntry entry = entries.get(server);
        if (entry != null && entry.available != available) {
            entry.available = available;
            place(entry);
        }
    }

    /**
     * Takes in what the peers said.
     *
     * @param othersInFlight The requests in flight from all peers by server.
     * @param gatewayDemand What this gateway and its peers ask for.
     */
    public void exchange(Map<String, Integer> othersInFlight, GatewayDemand gatewayDemand) {
        demand = gatewayDemand;
        for (BackendEntry entry : entries.values()) {
            entry.others = othersInFlight.getOrDefault(entry.server.name(), 0);
            place(entry);
        }
    }

    /**
     * Takes in a measured time between tokens.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param server The name of the server.
     * @param intervalMillis The mean time between the tokens of a request in milliseconds.
     */
    public void measured(long nowMillis, String server, double intervalMillis) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.measured(nowMillis, intervalMillis);
        }
    }

    /**
     * Notes that a server failed, which gets no work for a while.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param server The name of the server.
     */
    public void failed(long nowMillis, String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.coolingUntilMillis = nowMillis + COOLDOWN_MILLIS;
            place(entry);
        }
    }

    /**
     * Gives work again to servers whose failure is long enough ago.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void refresh(long nowMillis) {
        for (BackendEntry entry : entries.values()) {
            if (entry.coolingUntilMillis != 0 && entry.coolingUntilMillis <= nowMillis) {
                entry.coolingUntilMillis = 0;
                place(entry);
            }
        }
    }

    /**
     * Compares the speeds of the servers and ejects or readmits.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The changes.
     */
    public List<Ejection> compare(long nowMillis) {
        List<Ejection> changes = new ArrayList<>();
        for (TargetServers servers : byTarget.values()) {
            changes.addAll(speedRule.compare(nowMillis, servers.all()));
        }
        entries.values().forEach(this::place);
        return changes;
    }

    /**
     * Counts a request that starts.
     *
     * @param server The name of the server.
     */
    public void started(String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.own++;
            place(entry);
        }
    }

    /**
     * Counts a request that ended.
     *
     * @param server The name of the server.
     */
    public void ended(String server) {
        BackendEntry entry = entries.get(server);
        if (entry != null) {
            entry.own = Math.max(0, entry.own - 1);
            place(entry);
        }
    }

    /**
     * Returns the requests in flight from this gateway.
     *
     * @return The numbers by server.
     */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> counts = new HashMap<>();
        for (BackendEntry entry : entries.values()) {
            if (entry.own > 0) {
                counts.put(entry.server.name(), entry.own);
            }
        }
        return counts;
    }

    /**
     * Returns the servers that can take a request now.
     *
     * @param target The model or service.
     * @return The candidates.
     */
    public Candidates candidates(String target) {
        TargetServers servers = byTarget.get(target);
        return servers == null ? TargetServers.NONE : servers;
    }

    /**
     * Puts a server among the free or the full ones.
     *
     * @param entry The server.
     */
    private void place(BackendEntry entry) {
        int limit = division.ownLimit(entry.server.slots(), entry.own, entry.others, demand, entry.rotation);
        entry.ownLimit = Math.min(limit, entry.speedLimit);
        boolean free = entry.available && entry.coolingUntilMillis == 0 && entry.own < entry.ownLimit;
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
     * @param server The name of the server.
     * @param ejected Whether it was ejected, else readmitted.
     * @param slowness The time between its tokens relative to its peers.
     */
    public record Ejection(String server, boolean ejected, double slowness) {}
}
