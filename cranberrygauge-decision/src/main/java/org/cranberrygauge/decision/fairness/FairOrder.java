package org.cranberrygauge.decision.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Orders the requests that wait for the same capacity.
 *
 * <p>Urgency comes first. At equal urgency, requests that can still meet their target latency come before those that can't,
 * since an order by usage alone starts each customer's late requests and makes others late. Among these, the customer with
 * the least recent usage for its weight is next, with its earliest request; each request placed in the order counts as used
 * for those after it, so that one pass does not start all requests of one customer.
 *
 * <p>Invariant: of {@value #RESERVED_INTERVAL} consecutive starts, one goes to the request that has waited the largest
 * fraction of its allowed time, whatever its urgency and customer, so that none starves. Not thread-safe; one instance
 * for each queue, since it counts the starts.
 */
public final class FairOrder {

    /**
     * The starts of which one is reserved for the longest wait. With 8, a class that makes up a sixth of the demand is
     * served a quarter as often as all requests while more urgent ones alone exceed the capacity by half; 16 was too few.
     */
    static final int RESERVED_INTERVAL = 8;

    private final CustomerUse use;

    private final ToDoubleFunction<String> weights;

    /** The number of starts since the last reserved one. */
    private int starts;

    /** @param weights Returns the weight of a customer, above 0. */
    public FairOrder(CustomerUse use, ToDoubleFunction<String> weights) {
        this.use = use;
        this.weights = weights;
    }

    /**
     * Returns the entries in the order in which they are to be started.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param entries The waiting requests in any order.
     */
    public <T> List<Entry<T>> order(long nowMillis, Collection<Entry<T>> entries) {
        Iterator<Entry<T>> fair = fairly(nowMillis, entries).iterator();
        Iterator<Entry<T>> longest = byWait(nowMillis, entries).iterator();
        Set<Entry<T>> placed = Collections.newSetFromMap(new IdentityHashMap<>());
        List<Entry<T>> ordered = new ArrayList<>(entries.size());
        for (int start = starts; ordered.size() < entries.size(); start++) {
            Iterator<Entry<T>> source = isReserved(start) ? longest : fair;
            Entry<T> next = source.next();
            while (!placed.add(next)) {
                next = source.next();
            }
            ordered.add(next);
        }
        return ordered;
    }

    /** Counts the start of a waiting request; the next order depends on it. */
    public void recordStart() {
        starts = (starts + 1) % RESERVED_INTERVAL;
    }

    /**
     * Tells whether the next start is the one for the longest wait. Such a request needs no room for its own size, since
     * smaller ones would take the room before it is large enough.
     */
    public boolean isNextReserved() {
        return isReserved(starts);
    }

    private static boolean isReserved(int start) {
        return (start + 1) % RESERVED_INTERVAL == 0;
    }

    private static <T> List<Entry<T>> byWait(long nowMillis, Collection<Entry<T>> entries) {
        List<Entry<T>> ordered = new ArrayList<>(entries);
        ordered.sort(Comparator.<Entry<T>>comparingDouble(entry -> -entry.waitedFraction(nowMillis))
                .thenComparingLong(Entry::arrivedMillis));
        return ordered;
    }

    /** Orders without reserved starts. */
    private <T> List<Entry<T>> fairly(long nowMillis, Collection<Entry<T>> entries) {
        List<Entry<T>> sorted = new ArrayList<>(entries);
        sorted.sort(Comparator.comparingLong(Entry::arrivedMillis));
        Map<Rank, Map<String, Queue<Entry<T>>>> byRank = new TreeMap<>();
        for (Entry<T> entry : sorted) {
            byRank.computeIfAbsent(new Rank(entry.urgency(), !entry.isOnTime(nowMillis)), rank -> new HashMap<>())
                    .computeIfAbsent(entry.customer(), customer -> new ArrayDeque<>())
                    .add(entry);
        }
        Map<String, Double> uses = new HashMap<>();
        List<Entry<T>> ordered = new ArrayList<>(sorted.size());
        for (Map<String, Queue<Entry<T>>> customers : byRank.values()) {
            customers.keySet().forEach(customer -> uses.computeIfAbsent(customer, name -> useOf(nowMillis, name)));
            appendByUse(customers, uses, ordered);
        }
        return ordered;
    }

    /** Appends the entries of one rank, and adds their cost to the usage of their customers. */
    private <T> void appendByUse(
            Map<String, Queue<Entry<T>>> customers, Map<String, Double> uses, List<Entry<T>> ordered) {
        PriorityQueue<Turn> turns =
                new PriorityQueue<>(Comparator.comparingDouble(Turn::use).thenComparingLong(Turn::arrivedMillis));
        customers.forEach((customer, queue) ->
                turns.add(new Turn(customer, uses.get(customer), queue.peek().arrivedMillis())));
        while (!turns.isEmpty()) {
            Turn turn = turns.remove();
            Queue<Entry<T>> queue = customers.get(turn.customer());
            Entry<T> next = queue.remove();
            ordered.add(next);
            double used = turn.use() + next.cost() / weights.applyAsDouble(turn.customer());
            uses.put(turn.customer(), used);
            if (!queue.isEmpty()) {
                turns.add(new Turn(turn.customer(), used, queue.peek().arrivedMillis()));
            }
        }
    }

    private double useOf(long nowMillis, String customer) {
        return use.of(nowMillis, customer) / weights.applyAsDouble(customer);
    }

    /**
     * Requests of a lower rank start first.
     *
     * @param late Whether the request can no longer meet its target latency.
     */
    private record Rank(int urgency, boolean late) implements Comparable<Rank> {

        @Override
        public int compareTo(Rank other) {
            return Comparator.comparingInt(Rank::urgency)
                    .thenComparing(Rank::late)
                    .compare(this, other);
        }
    }

    /** A customer with waiting requests, its usage for its weight, and the arrival of its next request. */
    private record Turn(String customer, double use, long arrivedMillis) {}

    /**
     * A waiting request.
     *
     * @param item The request.
     * @param customer The customer; {@link CustomerUse#NO_CUSTOMER} if there is none.
     * @param cost The uncached prompt tokens and expected output tokens, or 1 at a plain service.
     * @param urgency The urgency; 0 is the most urgent.
     * @param onTimeMillis The monotonic time until which the request can start and still meet its target latency, in
     *     milliseconds.
     * @param expiresAtMillis The monotonic time at which the request expires, in milliseconds.
     * @param arrivedMillis The monotonic time at which the request arrived, in milliseconds.
     * @param <T> The type of the request.
     */
    public record Entry<T>(
            T item,
            String customer,
            long cost,
            int urgency,
            long onTimeMillis,
            long expiresAtMillis,
            long arrivedMillis) {

        boolean isOnTime(long nowMillis) {
            return nowMillis <= onTimeMillis;
        }

        /** Tells whether the request can no longer end in time. */
        public boolean isExpired(long nowMillis) {
            return nowMillis >= expiresAtMillis;
        }

        /** Returns the part of its allowed time that the request has waited; 1 or more once it has expired. */
        double waitedFraction(long nowMillis) {
            return (double) (nowMillis - arrivedMillis) / Math.max(1, expiresAtMillis - arrivedMillis);
        }
    }
}
