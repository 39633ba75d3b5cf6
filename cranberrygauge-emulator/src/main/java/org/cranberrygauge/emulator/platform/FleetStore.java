package org.cranberrygauge.emulator.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.cranberrygauge.protocol.platform.Platform.OrderAnswer;

/**
 * The backend servers that can be ordered, by pool.
 *
 * <p>Invariants: an order states the total size of its pool, so that repeating it changes nothing; if fencing is
 * checked, an order with a lower fencing number than one seen before is rejected. Used by one thread.
 */
public final class FleetStore {

    private final boolean checksFencing;

    private final long startMillis;

    private final Map<String, List<BackendServer>> registered = new HashMap<>();

    /** The time at which each ordered backend server becomes live, by name. */
    private final Map<String, Long> liveAtMillis = new HashMap<>();

    private final Set<String> evicted = new HashSet<>();

    private final Set<String> leaving = new HashSet<>();

    private final WeightStore weights;

    /** Accepted orders, which tests inspect. */
    private final List<Order> orders = new ArrayList<>();

    private long highestFencingNumber;

    /**
     * Creates a store without backend servers.
     *
     * @param checksFencing Whether orders with an old fencing number are rejected.
     * @param startMillis The time that a backend server takes to start in milliseconds, after its weights are loaded.
     */
    public FleetStore(boolean checksFencing, long startMillis, WeightStore weights) {
        this.weights = weights;
        this.checksFencing = checksFencing;
        this.startMillis = startMillis;
    }

    /** Registers a backend server that can be ordered, or replaces one of the same name. */
    public void register(String pool, BackendServer server) {
        List<BackendServer> servers = registered.computeIfAbsent(pool, name -> new ArrayList<>());
        servers.removeIf(other -> other.name().equals(server.name()));
        servers.add(server);
    }

    /**
     * Carries out an order.
     *
     * @param nowMillis The current time in milliseconds since the epoch.
     */
    public OrderAnswer order(long nowMillis, Order order) {
        if (order.deadlineMillis() < nowMillis) {
            return new OrderAnswer("too_late", orderedCount(order.pool()));
        }
        if (checksFencing && order.fencingNumber() < highestFencingNumber) {
            return new OrderAnswer("fenced", orderedCount(order.pool()));
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        orders.add(order);
        resize(nowMillis, order);
        int count = orderedCount(order.pool());
        return new OrderAnswer(count < order.desiredCount() ? "unavailable" : "done", count);
    }

    private void resize(long nowMillis, Order order) {
        int count = orderedCount(order.pool());
        for (BackendServer server : registered.getOrDefault(order.pool(), List.of())) {
            boolean live = liveAtMillis.containsKey(server.name());
            if (!live && count < order.desiredCount() && !evicted.contains(server.dataCentre())) {
                liveAtMillis.put(
                        server.name(),
                        weights.reserve(nowMillis, server.serves().size()) + startMillis);
                count++;
            } else if (live && count > order.desiredCount()) {
                liveAtMillis.remove(server.name());
                count--;
            }
        }
    }

    /**
     * Evicts the ordered backend servers of a data centre, or ends the eviction.
     *
     * @param evict Whether to evict; otherwise the eviction ends.
     */
    public void evict(String dataCentre, boolean evict) {
        if (!evict) {
            evicted.remove(dataCentre);
            return;
        }
        evicted.add(dataCentre);
        registered.values().stream()
                .flatMap(List::stream)
                .filter(server -> server.dataCentre().equals(dataCentre))
                .forEach(server -> liveAtMillis.remove(server.name()));
    }

    /**
     * Marks a backend server as leaving, or removes the mark.
     *
     * @param server The name of the backend server.
     * @param isLeaving Whether it is leaving.
     */
    public void setLeaving(String server, boolean isLeaving) {
        if (isLeaving) {
            leaving.add(server);
        } else {
            leaving.remove(server);
        }
    }

    /**
     * Lists the ordered backend servers.
     *
     * @param nowMillis The current time in milliseconds since the epoch.
     */
    public List<ListedBackendServer> list(long nowMillis) {
        List<ListedBackendServer> list = new ArrayList<>();
        registered.forEach((pool, servers) -> servers.stream()
                .filter(server -> liveAtMillis.containsKey(server.name()))
                .map(server -> new ListedBackendServer(server, stateOf(nowMillis, server), pool))
                .forEach(list::add));
        return list;
    }

    /** Returns the accepted orders, oldest first. */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    private HostState stateOf(long nowMillis, BackendServer server) {
        if (leaving.contains(server.name())) {
            return HostState.LEAVING;
        }
        return liveAtMillis.get(server.name()) <= nowMillis ? HostState.LIVE : HostState.STARTING;
    }

    /** Counts the ordered backend servers of a pool, live or starting. */
    private int orderedCount(String pool) {
        return (int) registered.getOrDefault(pool, List.of()).stream()
                .filter(server -> liveAtMillis.containsKey(server.name()))
                .count();
    }
}
