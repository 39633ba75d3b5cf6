package org.cranberrygauge.proxy.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.fairness.FairOrder;
import org.cranberrygauge.decision.fairness.FairOrder.Entry;

/**
 * The requests that are queued on this host until a backend server is available and has capacity.
 *
 * <p>Their order is that of {@link FairOrder}, with the same weight for each customer. A request expires as soon as it
 * can no longer finish before its deadline. Not thread-safe.
 *
 * @param <T> The type of the requests.
 */
public final class WaitQueue<T> {

    /** In order of arrival. */
    private final List<Entry<T>> entries = new ArrayList<>();

    private final FairOrder order;

    /** @param use The recent usage of customers, by which requests of equal urgency are ordered. */
    public WaitQueue(CustomerUse use) {
        order = new FairOrder(use, customer -> 1);
    }

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

    /** Removes a request that was sent to a backend server. */
    public void removeStarted(T item) {
        remove(item);
        order.recordStart();
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
        return order.order(nowMillis, entries).stream().map(Entry::item).toList();
    }

    /** Tells whether the next request may be sent to a server that has capacity, but less than the request needs. */
    public boolean isNextReserved() {
        return order.isNextReserved();
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
            if (entry.isExpired(nowMillis)) {
                expired.add(entry.item());
                iterator.remove();
            }
        }
        return expired;
    }
}
