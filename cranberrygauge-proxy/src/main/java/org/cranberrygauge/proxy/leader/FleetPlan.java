package org.cranberrygauge.proxy.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.FleetLimits;

/**
 * Decides how many backend servers of a pool to order in each data centre.
 *
 * <p>Cheap servers, which the provider may reclaim, are spread over all data centres where they are available, so that
 * the loss of all of them in one data centre leaves the rest. Regular servers are released only once the cheap ones are
 * ready, and are ordered again where cheap ones are unavailable; a minimum of regular servers always stays. Every host
 * observes the fleet; only the leader decides. Not thread-safe.
 */
public final class FleetPlan {

    /** The factor from the number of servers found at startup to the initial target size. */
    private static final double INITIAL_SIZE_FACTOR = 1.25;

    /** The regular servers that are never released. */
    private static final int MINIMUM_REGULAR = 1;

    /**
     * The factor from the demand to the number of regular and cheap servers together, where cheap ones are unavailable.
     */
    private static final double DEMAND_HEADROOM_FACTOR = 1.3;

    /** The time for which a data centre is skipped after it had no cheap server available. */
    private static final long UNAVAILABLE_MILLIS = 6_000;

    /** The time beyond the boot time after which an unfulfilled order is repeated. */
    private static final long REORDER_MILLIS = 2_500;

    /** The time for which the demand must be low before the fleet shrinks by one server. */
    private static final long SHRINK_DELAY_MILLIS = 8_000;

    /** The fraction of the fleet size below which the demand counts as low. */
    private static final double SHRINK_THRESHOLD = 0.6;

    /** The time within which all running backend servers register. */
    private static final long REGISTRATION_MILLIS = 4_500;

    private final String pool;

    /** The monotonic times until which data centres are skipped for cheap servers. */
    private final Map<String, Long> unavailableUntilMillis = new HashMap<>();

    /** By supply and data centre. */
    private final Map<String, LastOrder> lastOrders = new HashMap<>();

    /** The monotonic time at which a backend server was first seen; -1 before. */
    private long firstSeenMillis = -1;

    private double demandedServers;

    /** The target size of the fleet; 0 until the list of backend servers is complete. */
    private int size;

    private long lowDemandSinceMillis;

    public FleetPlan(String pool) {
        this.pool = pool;
    }

    /**
     * Records the current fleet and demand. Called on all hosts, so that a new leader knows the target size from before
     * a loss.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param present The backend servers that accept new requests.
     * @param demand The number of servers that the current demand requires.
     */
    public void observe(long nowMillis, FleetLimits limits, List<Backend> present, double demand) {
        demandedServers = demand;
        if (present.isEmpty()) {
            return;
        }
        if (firstSeenMillis < 0) {
            firstSeenMillis = nowMillis;
        }
        if (nowMillis - firstSeenMillis < REGISTRATION_MILLIS) {
            return;
        }
        int dataCentres = limits.dataCentrePrices().size();
        resize(nowMillis, present.size(), limits.maximum() * dataCentres);
    }

    /** Returns the target size of the fleet; 0 until the list of backend servers is complete. */
    public int size() {
        return size;
    }

    /** Discards the orders of an earlier term of this host, since another leader may have ordered in between. */
    public void beginTerm() {
        lastOrders.clear();
    }

    /**
     * Returns the orders due for the last observation.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param present The backend servers that accept new requests.
     */
    public List<BackendOrder> decide(long nowMillis, FleetLimits limits, List<Backend> present) {
        if (size == 0 || present.isEmpty()) {
            return List.of();
        }
        List<String> dataCentres = new ArrayList<>(limits.dataCentrePrices().keySet());
        dataCentres.sort(Comparator.comparing(name -> limits.dataCentrePrices().get(name)));
        Map<String, Integer> cheap = count(present, Supply.CHEAP);
        Map<String, Integer> regular = count(present, Supply.REGULAR);
        Map<String, Integer> cheapTargets = cheapTargets(nowMillis, limits, dataCentres, cheap);
        int regularTarget = regularTarget(nowMillis, limits, cheap, cheapTargets, total(regular));
        Map<String, Integer> regularTargets = regularTargets(limits, dataCentres, cheapTargets, regular, regularTarget);
        List<BackendOrder> orders = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            addOrder(nowMillis, limits, orders, dataCentre, Supply.CHEAP, cheapTargets, cheap);
            addOrder(nowMillis, limits, orders, dataCentre, Supply.REGULAR, regularTargets, regular);
        }
        return orders;
    }

    /**
     * Records that an order was rejected since the capacity is currently unavailable.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void orderRejected(long nowMillis, BackendOrder order) {
        lastOrders.remove(order.supply() + order.dataCentre());
        if (order.supply() == Supply.CHEAP) {
            unavailableUntilMillis.put(order.dataCentre(), nowMillis + UNAVAILABLE_MILLIS);
        }
    }

    /** Records that the outcome of an order is unknown, so that it is repeated. */
    public void orderUnconfirmed(BackendOrder order) {
        lastOrders.remove(order.supply() + order.dataCentre());
    }

    /** Adjusts the target size to the demand: grows at once, shrinks slowly. */
    private void resize(long nowMillis, int present, int maximum) {
        if (size == 0) {
            size = (int) Math.ceil(present * INITIAL_SIZE_FACTOR);
            lowDemandSinceMillis = nowMillis;
        }
        if (demandedServers > size * SHRINK_THRESHOLD) {
            lowDemandSinceMillis = nowMillis;
        }
        if (demandedServers > size) {
            size = (int) Math.ceil(demandedServers);
        } else if (nowMillis - lowDemandSinceMillis > SHRINK_DELAY_MILLIS) {
            size--;
            lowDemandSinceMillis = nowMillis;
        }
        size = Math.max(2, Math.min(maximum, size));
    }

    /**
     * Spreads cheap servers over the data centres, given cheapest first. A data centre without available capacity keeps
     * its current ones.
     */
    private Map<String, Integer> cheapTargets(
            long nowMillis, FleetLimits limits, List<String> dataCentres, Map<String, Integer> cheap) {
        Map<String, Integer> target = new HashMap<>();
        List<String> available = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            if (nowMillis >= unavailableUntilMillis.getOrDefault(dataCentre, Long.MIN_VALUE)) {
                available.add(dataCentre);
            } else {
                target.put(dataCentre, cheap.getOrDefault(dataCentre, 0));
            }
        }
        int maximumCheap = limits.maximum() - MINIMUM_REGULAR;
        int remaining = size - total(target);
        for (int index = 0; index < remaining && !available.isEmpty(); index++) {
            String dataCentre = available.get(index % available.size());
            target.merge(dataCentre, 1, (count, increment) -> Math.min(maximumCheap, count + increment));
        }
        return target;
    }

    /**
     * Computes the number of regular servers. Current ones stay until the cheap ones are ready; more are ordered only
     * in place of cheap servers that don't arrive, as far as the demand requires them.
     */
    private int regularTarget(
            long nowMillis,
            FleetLimits limits,
            Map<String, Integer> cheap,
            Map<String, Integer> cheapTargets,
            int regular) {
        int shortfall = size - total(cheap);
        int expected = 0;
        for (Map.Entry<String, Integer> target : cheapTargets.entrySet()) {
            LastOrder lastOrder = lastOrders.get(Supply.CHEAP + target.getKey());
            boolean mayStillBoot =
                    lastOrder == null || nowMillis - lastOrder.atMillis() <= limits.bootMillis() + REORDER_MILLIS;
            int outstanding = target.getValue() - cheap.getOrDefault(target.getKey(), 0);
            expected += mayStillBoot ? Math.max(0, outstanding) : 0;
        }
        int retained = Math.min(regular, shortfall);
        int demandShortfall = (int) Math.ceil(demandedServers * DEMAND_HEADROOM_FACTOR) - total(cheap);
        return Math.max(MINIMUM_REGULAR, Math.max(retained, Math.min(shortfall, demandShortfall) - expected));
    }

    private static int total(Map<String, Integer> numbers) {
        return numbers.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Distributes the regular servers over the data centres, given cheapest first: current locations come first. */
    private static Map<String, Integer> regularTargets(
            FleetLimits limits,
            List<String> dataCentres,
            Map<String, Integer> cheapTargets,
            Map<String, Integer> regular,
            int number) {
        Map<String, Integer> target = new TreeMap<>();
        int unassigned = number;
        for (String dataCentre : dataCentres) {
            int retained = Math.min(unassigned, regular.getOrDefault(dataCentre, 0));
            target.put(dataCentre, retained);
            unassigned -= retained;
        }
        for (String dataCentre : dataCentres) {
            int capacity = limits.maximum() - cheapTargets.getOrDefault(dataCentre, 0) - target.get(dataCentre);
            int added = Math.max(0, Math.min(unassigned, capacity));
            target.merge(dataCentre, added, Integer::sum);
            unassigned -= added;
        }
        for (String dataCentre : dataCentres) {
            int total = target.get(dataCentre) + cheapTargets.getOrDefault(dataCentre, 0);
            target.merge(dataCentre, Math.max(0, limits.minimum() - total), Integer::sum);
        }
        return target;
    }

    /** Adds an order if neither the current number nor the last order matches the target. */
    private void addOrder(
            long nowMillis,
            FleetLimits limits,
            List<BackendOrder> orders,
            String dataCentre,
            Supply supply,
            Map<String, Integer> targets,
            Map<String, Integer> counts) {
        int target = targets.getOrDefault(dataCentre, 0);
        LastOrder lastOrder = lastOrders.get(supply + dataCentre);
        boolean unfulfilled = counts.getOrDefault(dataCentre, 0) != target
                && (lastOrder == null || nowMillis - lastOrder.atMillis() > limits.bootMillis() + REORDER_MILLIS);
        boolean changed = lastOrder != null && lastOrder.number() != target;
        if (unfulfilled || changed) {
            lastOrders.put(supply + dataCentre, new LastOrder(target, nowMillis));
            orders.add(new BackendOrder(pool, dataCentre, supply, target));
        }
    }

    private static Map<String, Integer> count(List<Backend> present, Supply supply) {
        Map<String, Integer> counts = new HashMap<>();
        for (Backend backend : present) {
            if (backend.supply() == supply) {
                counts.merge(backend.dataCentre(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The last order for one supply and data centre, with the monotonic time at which it was made. */
    private record LastOrder(int number, long atMillis) {}
}
