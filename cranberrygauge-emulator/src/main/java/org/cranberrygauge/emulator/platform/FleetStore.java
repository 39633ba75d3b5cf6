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
 * <p>Invariants: an order states the whole size of its pool, so that a copy changes nothing; with fencing on, an order
 * with a lower fencing number than one seen is refused. Used by one thread.
 */
public final class FleetStore {

    /** Whether old fencing numbers are refused. */
    private final boolean checksFencing;

    /** The time a backend server takes to start in milliseconds. */
    private final long startMillis;

    /** The registered backend servers by pool. */
    private final Map<String, List<BackendServer>> registered = new HashMap<>();

    /** The time at which each ordered backend server is live, by name. */
    private final Map<String, Long> liveAtMillis = new HashMap<>();

    /** The data centres that are evicted. */
    private final Set<String> evicted = new HashSet<>();

    /** The backend servers that will leave. */
    private final Set<String> leaving = new HashSet<>();

    /** The rate-limited store of model weights. */
    private final WeightStore weights;

    /** The orders that were carried out, for the count of tests. */
    private final List<Order> orders = new ArrayList<>();

    /** The highest fencing number seen. */
    private long highestFencing;

    /**
     * Creates an empty store.
     *
     * @param checksFencing Whether old fencing numbers are refused.
     * @param startMillis The time a backend server takes to start in milliseconds, beside the load of its weights.
     * @param weights The store of model weights.
     */
    public FleetStore(boolean checksFencing, long startMillis, WeightStore weights) {
        this.weights = weights;
        this.checksFencing = checksFencing;
        this.startMillis = startMillis;
    }

    /**
     * Registers a backend server that can be ordered.
     *
     * @param pool The name of the pool.
     * @param server The backend server.
     */
    public void register(String pool, BackendServer server) {
        List<BackendServer> servers = registered.computeIfAbsent(pool, name -> new ArrayList<>());
        servers.removeIf(other -> other.name().equals(server.name()));
        servers.add(server);
    }

    /**
     * Carries out an order.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @param order The order.
     * @return What was done.
     */
    public OrderAnswer order(long nowMillis, Order order) {
        if (order.deadlineMillis() < nowMillis) {
            return new OrderAnswer("too_late", present(order.pool()));
        }
        if (checksFencing && order.fencingNumber() < highestFencing) {
            return new OrderAnswer("fenced", present(order.pool()));
        }
        highestFencing = Math.max(highestFencing, order.fencingNumber());
        orders.add(order);
        resize(nowMillis, order);
        int present = present(order.pool());
        return new OrderAnswer(present < order.desiredCount() ? "unavailable" : "done", present);
    }

    /**
     * Brings a pool to the ordered size.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @param order The order.
     */
    private void resize(long nowMillis, Order order) {
        int present = present(order.pool());
        for (BackendServer server : registered.getOrDefault(order.pool(), List.of())) {
            boolean live = liveAtMillis.containsKey(server.name());
            if (!live && present < order.desiredCount() && !evicted.contains(server.dataCentre())) {
                liveAtMillis.put(
                        server.name(),
                        weights.reserve(nowMillis, server.serves().size()) + startMillis);
                present++;
            } else if (live && present > order.desiredCount()) {
                liveAtMillis.remove(server.name());
                present--;
            }
        }
    }

    /**
     * Evicts the cheap backend servers of a data centre, or lets them come back.
     *
     * @param dataCentre The name of the data centre.
     * @param evict Whether to evict.
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
     * Marks a backend server as leaving, or lets it stay.
     *
     * @param server The name of the backend server.
     * @param leaves Whether it will leave.
     */
    public void leave(String server, boolean leaves) {
        if (leaves) {
            leaving.add(server);
        } else {
            leaving.remove(server);
        }
    }

    /**
     * Lists the ordered backend servers.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @return The list.
     */
    public List<ListedBackendServer> list(long nowMillis) {
        List<ListedBackendServer> list = new ArrayList<>();
        registered.forEach((pool, servers) -> servers.stream()
                .filter(server -> liveAtMillis.containsKey(server.name()))
                .map(server -> new ListedBackendServer(server, stateOf(nowMillis, server), pool))
                .forEach(list::add));
        return list;
    }

    /**
     * Returns the orders that were carried out.
     *
     * @return The orders.
     */
    public List<Order> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns the state of an ordered backend server.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @param server The backend server.
     * @return The state.
     */
    private HostState stateOf(long nowMillis, BackendServer server) {
        if (leaving.contains(server.name())) {
            return HostState.LEAVING;
        }
        return liveAtMillis.get(server.name()) <= nowMillis ? HostState.LIVE : HostState.STARTING;
    }

    /**
     * Counts the ordered backend servers of a pool.
     *
     * @param pool The name of the pool.
     * @return The number.
     */
    private int present(String pool) {
        return (int) registered.getOrDefault(pool, List.of()).stream()
                .filter(server -> liveAtMillis.containsKey(server.name()))
                .count();
    }
}
