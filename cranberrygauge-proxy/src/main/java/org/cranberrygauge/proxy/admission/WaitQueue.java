package org.cranberrygauge.proxy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The requests that are queued on this host until a backend server is available and has capacity.
 *
 * <p>Order: by urgency; at equal urgency, requests that can still meet their target latency go before those that can't;
 * then by arrival. A request expires as soon as it can no longer finish before its deadline. Not thread-safe.
 *
 * @param <T> The type of the requests.
 */
public final class WaitQueue<T> {

    /** In order of arrival. */
    private final List<Entry<T>> entries = new ArrayList<>();

    public void add(Entry<T> entry) {
        entries.add(entry);
    }

    public void remove(T item) {
        entries.removeIf(entry -> entry.item() == item);
    }

    /** Returns the sum of a value of all requests. */
    public long sum(ToLongFunction<T> value) {
        return entries.stream().map(Entry::item).mapToLong(value).sum();
    }

    public int size() {
        return entries.size();
    }

    /**
     * Returns the requests in the order in which they are to be sent, without removing them.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public List<T> inOrder(long nowMillis) {
        List<Entry<T>> ordered = new ArrayList<>(entries);
        ordered.sort(
                Comparator.<Entry<T>>comparingInt(Entry::urgency).thenComparing(entry -> !entry.isOnTime(nowMillis)));
        return ordered.stream().map(Entry::item).toList();
    }

    /**
     * Removes and returns the requests whose time in the queue is over.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public List<T> removeExpired(long nowMillis) {
        List<T> expired = new ArrayList<>();
        Iterator<Entry<T>> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry<T> entry = iterator.next();
            if (nowMillis >= entry.expiresAtMillis()) {
                expired.add(entry.item());
                iterator.remove();
            }
        }
        return expired;
    }

    /**
     * A queued request.
     *
     * @param item The request.
     * @param urgency The urgency; 0 is the most urgent.
     * @param onTimeMillis The monotonic time until which the request can start and still meet its target latency, in
     *     milliseconds.
     * @param expiresAtMillis The monotonic time at which the request expires, in milliseconds.
     * @param <T> The type of the request.
     */
    public record Entry<T>(T item, int urgency, long onTimeMillis, long expiresAtMillis) {

        boolean isOnTime(long nowMillis) {
            return nowMillis <= onTimeMillis;
        }
    }
}
