package org.cranberrygauge.decision.hostload;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The order in which a host whose processor is behind starts the requests that have gathered.
 *
 * <p>Requests that can still be answered in time come first, by urgency, and the newest first among equals: the oldest ones
 * have used most of their time, and starting them in the order of arrival makes all of them late. The others follow in the
 * same order, and may reach their deadline before they start. A host that keeps up starts each request at once, so that no order arises. Not
 * thread-safe.
 *
 * @param <T> The type of the requests.
 */
public final class StartOrder<T> {

    /** By urgency, the newest first. */
    private static final Comparator<Entry<?>> NEWEST = Comparator.<Entry<?>>comparingInt(Entry::urgency)
            .thenComparing(
                    Comparator.<Entry<?>>comparingLong(Entry::receivedMillis).reversed())
            .thenComparing(Comparator.<Entry<?>>comparingLong(Entry::number).reversed());

    private final PriorityQueue<Entry<T>> punctual = new PriorityQueue<>(NEWEST);

    private final PriorityQueue<Entry<T>> late = new PriorityQueue<>(NEWEST);

    /** The number of requests that were added. */
    private long added;

    /**
     * Adds a request.
     *
     * @param urgency The urgency; 0 is the most urgent.
     * @param receivedMillis The monotonic time at which the request was received, in milliseconds.
     * @param startsByMillis The monotonic time by which it has to start to be answered in time, in milliseconds.
     */
    public void add(T item, int urgency, long receivedMillis, long startsByMillis) {
        punctual.add(new Entry<>(item, urgency, receivedMillis, startsByMillis, added++));
    }

    /**
     * Removes and returns the request that starts next; empty if there is none.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public Optional<T> next(long nowMillis) {
        while (!punctual.isEmpty() && punctual.peek().startsByMillis() < nowMillis) {
            late.add(punctual.remove());
        }
        Entry<T> next = punctual.isEmpty() ? late.poll() : punctual.remove();
        return next == null ? Optional.empty() : Optional.of(next.item());
    }

    public int size() {
        return punctual.size() + late.size();
    }

    /**
     * A request that has not started.
     *
     * @param number The number of requests that were added before it.
     */
    private record Entry<T>(T item, int urgency, long receivedMillis, long startsByMillis, long number) {}
}
