package org.cranberrygauge.gateway.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.drain.DrainRegister;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.routing.BackendView;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.runtime.blackboard.Blackboard;

/**
 * The backend servers as routing sees them.
 *
 * <p>Invariants: a drained, leaving or failing backend server is not available; counts of requests in flight never fall
 * below zero. Safe for use by several threads; the set of servers is replaced whole.
 */
public final class BackendBoard {

    /** The time for which a backend server gets no work after a failure in milliseconds. */
    private static final long COOLDOWN_MILLIS = 1_000;

    /** The age after which a peer's counts are dropped in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The blackboard. */
    private final Blackboard blackboard;

    /** The servers by what they serve. */
    private final AtomicReference<Map<String, List<Entry>>> byTarget = new AtomicReference<>(Map.of());

    /** The requests in flight from this gateway by backend server. */
    private final Map<String, AtomicInteger> ownInFlight = new ConcurrentHashMap<>();

    /** The monotonic time until which a backend server gets no work, by name. */
    private final Map<String, Long> coolingUntilMillis = new ConcurrentHashMap<>();

    /**
     * Creates a board.
     *
     * @param blackboard The blackboard.
     */
    public BackendBoard(Blackboard blackboard) {
        this.blackboard = blackboard;
    }

    /**
     * Rebuilds the set of servers from the blackboard.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void refresh(long nowMillis) {
        Configuration configuration = blackboard.configuration();
        DrainRegister drains = blackboard.log().drains();
        Map<String, Entry> servers = new LinkedHashMap<>();
        for (BackendServer server : configuration.backendServers()) {
            servers.put(server.name(), new Entry(server, !drains.isDrained(server.name())));
        }
        for (ListedBackendServer listed : blackboard.listed()) {
            boolean live = listed.state() == HostState.LIVE
                    && !drains.isDrained(listed.server().name());
            servers.put(listed.server().name(), new Entry(listed.server(), live));
        }
        Map<String, List<Entry>> next = new HashMap<>();
        for (Entry entry : servers.values()) {
            for (String target : entry.server().serves()) {
                next.computeIfAbsent(target, name -> new ArrayList<>()).add(entry);
            }
        }
        byTarget.set(Map.copyOf(next));
        coolingUntilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /**
     * Lists the backend servers that can take a request now.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param target The model or service.
     * @return Those with a free slot.
     */
    public List<BackendView> candidates(long nowMillis, String target) {
        List<BackendView> views = new ArrayList<>();
        for (Entry entry : byTarget.get().getOrDefault(target, List.of())) {
            BackendView view = view(nowMillis, entry);
            if (view.hasFreeSlot()) {
                views.add(view);
            }
        }
        return views;
    }

    /**
     * Counts the backend servers of a target that may get work, free or not.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param target The model or service.
     * @return The number.
     */
    public int healthy(long nowMillis, String target) {
        return (int) byTarget.get().getOrDefault(target, List.of()).stream()
                .filter(entry -> view(nowMillis, entry).available())
                .count();
    }

    /**
     * Tells whether any backend server serves a target, free or not.
     *
     * @param target The model or service.
     * @return Whether one does.
     */
    public boolean isServed(String target) {
        return !byTarget.get().getOrDefault(target, List.of()).isEmpty();
    }

    /**
     * Counts a request that starts.
     *
     * @param server The backend server.
     */
    public void started(BackendServer server) {
        counter(server.name()).incrementAndGet();
    }

    /**
     * Counts a request that ended.
     *
     * @param server The backend server.
     */
    public void ended(BackendServer server) {
        counter(server.name()).updateAndGet(count -> Math.max(0, count - 1));
    }

    /**
     * Notes that a backend server failed.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param server The backend server.
     */
    public void failed(long nowMillis, BackendServer server) {
        coolingUntilMillis.put(server.name(), nowMillis + COOLDOWN_MILLIS);
    }

    /**
     * Returns the requests in flight from this gateway.
     *
     * @return The numbers by backend server.
     */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> counts = new HashMap<>();
        ownInFlight.forEach((name, count) -> {
            if (count.get() > 0) {
                counts.put(name, count.get());
            }
        });
        return counts;
    }

    /**
     * Builds the view of a backend server.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param entry The backend server.
     * @return The view.
     */
    private BackendView view(long nowMillis, Entry entry) {
        String name = entry.server().name();
        int others = 0;
        for (PeerReport peer : blackboard.peers().values()) {
            if (nowMillis - peer.heardAtMillis() <= PEER_EXPIRY_MILLIS) {
                others += peer.inFlight().getOrDefault(name, 0);
            }
        }
        boolean cooling = coolingUntilMillis.getOrDefault(name, Long.MIN_VALUE) > nowMillis;
        return new BackendView(entry.server(), counter(name).get(), others, entry.available() && !cooling);
    }

    /**
     * Returns the counter of a backend server.
     *
     * @param name The name.
     * @return The counter.
     */
    private AtomicInteger counter(String name) {
        return ownInFlight.computeIfAbsent(name, key -> new AtomicInteger());
    }

    /**
     * A backend server of the present set.
     *
     * @param server The backend server.
     * @param available Whether it may get new work.
     */
    private record Entry(BackendServer server, boolean available) {}
}
