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
 * Decides how many backend servers of a pool are ordered in each data centre.
 *
 * <p>Cheap ones are spread over all data centres where they can be had, so that the loss of all of one data centre leaves the
 * rest. Regular ones are handed back only once the cheap ones are ready, and come back where cheap ones can't be had. A few
 * regular ones always stay. Each host observes; the holder of the duties decides. Used by one thread.
 */
public final class FleetPlan {

    /** The backend servers wished for, for each one that was there at the start. */
    private static final double START_FACTOR = 1.25;

    /** The regular backend servers that always stay. */
    private static final int REGULAR_FLOOR = 1;

    /** The regular and cheap backend servers together for each one that the demand needs, where cheap ones can't be had. */
    private static final double NEEDED_FACTOR = 1.3;

    /** The time for which a data centre that had no cheap backend server to give is left out, in milliseconds. */
    private static final long DRY_MILLIS = 6_000;

    /** The time after which an order whose result isn't seen is stated again, beyond the boot time, in milliseconds. */
    private static final long RESTATE_MILLIS = 2_500;

    /** The time for which the demand must be low before the fleet shrinks, in milliseconds. */
    private static final long SHRINK_MILLIS = 8_000;

    /** The part of the fleet below which the demand is low. */
    private static final double LOW_PART = 0.6;

    /** The time in which the backend servers that are there register, in milliseconds. */
    private static final long REGISTRATION_MILLIS = 4_500;

    /** The pool. */
    private final String pool;

    /** The times until which data centres are left out. */
    private final Map<String, Long> dryUntilMillis = new HashMap<>();

    /** The last order for each kind and data centre. */
    private final Map<String, Stated> stated = new HashMap<>();

    /** The monotonic time at which a backend server was first seen, or -1 before. */
    private long seenSinceMillis = -1;

    /** The number that the demand needs. */
    private double needed;

    /** The number wished for in all, or 0 before the list of backend servers is complete. */
    private int size;

    /** The monotonic time from which the demand is low. */
    private long lowSinceMillis;

    /**
     * Creates a plan.
     *
     * @param pool The pool.
     */
    public FleetPlan(String pool) {
        this.pool = pool;
    }

    /**
     * Notes what is there and what is needed, also on hosts that order nothing, so that a successor knows the size that was
     * wished for before a loss.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param limits How backend servers may be ordered.
     * @param present The backend servers that take new work.
     * @param demand The number that the present demand needs.
     */
    public void observe(long nowMillis, FleetLimits limits, List<Backend> present, double demand) {
        needed = demand;
        if (present.isEmpty()) {
            return;
        }
        if (seenSinceMillis < 0) {
            seenSinceMillis = nowMillis;
        }
        if (nowMillis - seenSinceMillis < REGISTRATION_MILLIS) {
            return;
        }
        int dataCentres = limits.dataCentrePrices().size();
        resize(nowMillis, present.size(), limits.maximum() * dataCentres);
    }

    /** Forgets the orders of an earlier term of this host, since others may have ordered after them. */
    public void takeOver() {
        stated.clear();
    }

    /**
     * Decides what to order for what was last observed.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param limits How backend servers may be ordered.
     * @param present The backend servers that take new work.
     * @return The orders.
     */
    public List<BackendOrder> decide(long nowMillis, FleetLimits limits, List<Backend> present) {
        if (size == 0 || present.isEmpty()) {
            return List.of();
        }
        List<String> dataCentres = new ArrayList<>(limits.dataCentrePrices().keySet());
        dataCentres.sort(Comparator.comparing(name -> limits.dataCentrePrices().get(name)));
        Map<String, Integer> cheap = count(present, Supply.CHEAP);
        Map<String, Integer> regular = count(present, Supply.REGULAR);
        Map<String, Integer> cheapWish = cheapWish(nowMillis, limits, dataCentres, cheap);
        int regularWish = regularWish(nowMillis, limits, cheap, cheapWish, total(regular));
        Map<String, Integer> regularWishes = regularWishes(limits, dataCentres, cheapWish, regular, regularWish);
        List<BackendOrder> orders = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            state(nowMillis, limits, orders, dataCentre, Supply.CHEAP, cheapWish, cheap);
            state(nowMillis, limits, orders, dataCentre, Supply.REGULAR, regularWishes, regular);
        }
        return orders;
    }

    /**
     * Notes that an order was turned away, since none can be had there at present.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param order The order.
     */
    public void turnedAway(long nowMillis, BackendOrder order) {
        stated.remove(order.supply() + order.dataCentre());
        if (order.supply() == Supply.CHEAP) {
            dryUntilMillis.put(order.dataCentre(), nowMillis + DRY_MILLIS);
        }
    }

    /**
     * Notes that it isn't known whether an order was carried out, so that it is stated again.
     *
     * @param order The order.
     */
    public void unanswered(BackendOrder order) {
        stated.remove(order.supply() + order.dataCentre());
    }

    /**
     * Sets the number wished for by the demand.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param present The number that takes new work.
     * @param maximum The highest number.
     */
    private void resize(long nowMillis, int present, int maximum) {
        if (size == 0) {
            size = (int) Math.ceil(present * START_FACTOR);
            lowSinceMillis = nowMillis;
        }
        if (needed > size * LOW_PART) {
            lowSinceMillis = nowMillis;
        }
        if (needed > size) {
            size = (int) Math.ceil(needed);
        } else if (nowMillis - lowSinceMillis > SHRINK_MILLIS) {
            size--;
            lowSinceMillis = nowMillis;
        }
        size = Math.max(2, Math.min(maximum, size));
    }

    /**
     * Spreads the cheap ones over the data centres; one that has none to give keeps those that are there.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param limits The limits.
     * @param dataCentres The data centres, cheapest first.
     * @param cheap The cheap ones that are there.
     * @return The numbers by data centre.
     */
    private Map<String, Integer> cheapWish(
            long nowMillis, FleetLimits limits, List<String> dataCentres, Map<String, Integer> cheap) {
        Map<String, Integer> wish = new HashMap<>();
        List<String> open = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            if (nowMillis >= dryUntilMillis.getOrDefault(dataCentre, Long.MIN_VALUE)) {
                open.add(dataCentre);
            } else {
                wish.put(dataCentre, cheap.getOrDefault(dataCentre, 0));
            }
        }
        int most = limits.maximum() - REGULAR_FLOOR;
        int spread = size - total(wish);
        for (int index = 0; index < spread && !open.isEmpty(); index++) {
            String dataCentre = open.get(index % open.size());
            wish.merge(dataCentre, 1, (left, right) -> Math.min(most, left + right));
        }
        return wish;
    }

    /**
     * Decides the number of regular ones: those that are there stay until the cheap ones are ready, and more are ordered only
     * for cheap ones that don't come, as far as the demand needs them.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param limits The limits.
     * @param cheap The cheap ones that are there.
     * @param cheapWish The cheap ones wished for.
     * @param regular The number of regular ones that are there.
     * @return The number of regular ones.
     */
    private int regularWish(
            long nowMillis,
            FleetLimits limits,
            Map<String, Integer> cheap,
            Map<String, Integer> cheapWish,
            int regular) {
        int missing = size - total(cheap);
        int coming = 0;
        for (Map.Entry<String, Integer> wish : cheapWish.entrySet()) {
            Stated last = stated.get(Supply.CHEAP + wish.getKey());
            boolean soon = last == null || nowMillis - last.atMillis() <= limits.bootMillis() + RESTATE_MILLIS;
            int absent = wish.getValue() - cheap.getOrDefault(wish.getKey(), 0);
            coming += soon ? Math.max(0, absent) : 0;
        }
        int kept = Math.min(regular, missing);
        int lacking = (int) Math.ceil(needed * NEEDED_FACTOR) - total(cheap);
        return Math.max(REGULAR_FLOOR, Math.max(kept, Math.min(missing, lacking) - coming));
    }

    /**
     * Adds up numbers.
     *
     * @param numbers The numbers.
     * @return The sum.
     */
    private static int total(Map<String, Integer> numbers) {
        return numbers.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Spreads the regular ones, where they are already first.
     *
     * @param limits The limits.
     * @param dataCentres The data centres, cheapest first.
     * @param cheapWish The cheap ones wished for.
     * @param regular The regular ones that are there.
     * @param number The number of regular ones.
     * @return The numbers by data centre.
     */
    private static Map<String, Integer> regularWishes(
            FleetLimits limits,
            List<String> dataCentres,
            Map<String, Integer> cheapWish,
            Map<String, Integer> regular,
            int number) {
        Map<String, Integer> wish = new TreeMap<>();
        int left = number;
        for (String dataCentre : dataCentres) {
            int kept = Math.min(left, regular.getOrDefault(dataCentre, 0));
            wish.put(dataCentre, kept);
            left -= kept;
        }
        for (String dataCentre : dataCentres) {
            int room = limits.maximum() - cheapWish.getOrDefault(dataCentre, 0) - wish.get(dataCentre);
            int added = Math.max(0, Math.min(left, room));
            wish.merge(dataCentre, added, Integer::sum);
            left -= added;
        }
        for (String dataCentre : dataCentres) {
            int total = wish.get(dataCentre) + cheapWish.getOrDefault(dataCentre, 0);
            wish.merge(dataCentre, Math.max(0, limits.minimum() - total), Integer::sum);
        }
        return wish;
    }

    /**
     * Adds an order if what is there, or was ordered last, isn't what is wished for.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param limits The limits.
     * @param orders The orders to add to.
     * @param dataCentre The data centre.
     * @param supply The kind.
     * @param wishes The numbers wished for.
     * @param counts The numbers that are there.
     */
    private void state(
            long nowMillis,
            FleetLimits limits,
            List<BackendOrder> orders,
            String dataCentre,
            Supply supply,
            Map<String, Integer> wishes,
            Map<String, Integer> counts) {
        int wish = wishes.getOrDefault(dataCentre, 0);
        Stated last = stated.get(supply + dataCentre);
        boolean unseen = counts.getOrDefault(dataCentre, 0) != wish
                && (last == null || nowMillis - last.atMillis() > limits.bootMillis() + RESTATE_MILLIS);
        boolean changed = last != null && last.number() != wish;
        if (unseen || changed) {
            stated.put(supply + dataCentre, new Stated(wish, nowMillis));
            orders.add(new BackendOrder(pool, dataCentre, supply, wish));
        }
    }

    /**
     * Counts backend servers by data centre.
     *
     * @param present The backend servers.
     * @param supply The kind.
     * @return The numbers by data centre.
     */
    private static Map<String, Integer> count(List<Backend> present, Supply supply) {
        Map<String, Integer> counts = new HashMap<>();
        for (Backend backend : present) {
            if (backend.supply() == supply) {
                counts.merge(backend.dataCentre(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /**
     * The last order for a kind and data centre.
     *
     * @param number The number.
     * @param atMillis The monotonic time.
     */
    private record Stated(int number, long atMillis) {}
}
