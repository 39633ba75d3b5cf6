package org.cranberrygauge.proxy.admission;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * The requests that wait on this host until an engine has room for their prompts.
 *
 * <p>The most urgent goes first; of equal urgency, one that can still be on time goes before one that can't, and an earlier
 * one before a later one. A request is given up as soon as it could not end within its time. Used by one thread.
 *
 * @param <T> The type of the requests.
 */
public final class WaitQueue<T> {

    /** The requests in order of arrival. */
    private final List<Entry<T>> entries = new ArrayList<>();

    /**
     * Adds a request.
     *
     * @param entry The request.
     */
    public void add(Entry<T> entry) {
        entries.add(entry);
    }

    /**
     * Removes a request.
     *
     * @param item The request.
     */
    public void remove(T item) {
        entries.removeIf(entry -> entry.item() == item);
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return The number.
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns the request that goes first, which stays in the line.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The request, or nothing if none waits.
     */
    public Optional<T> first(long nowMillis) {
        Entry<T> best = null;
        for (Entry<T> entry : entries) {
            if (best == null || goesBefore(nowMillis, entry, best)) {
                best = entry;
            }
        }
        return Optional.ofNullable(best).map(Entry::item);
    }

    /**
     * Takes out the requests that are given up.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The requests.
     */
    public List<T> takeGivenUp(long nowMillis) {
        List<T> givenUp = new ArrayList<>();
        Iterator<Entry<T>> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry<T> entry = iterator.next();
            if (nowMillis >= entry.giveUpMillis()) {
                givenUp.add(entry.item());
                iterator.remove();
            }
        }
        return givenUp;
    }

    /**
     * Tells whether a request goes before an earlier one.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param later The later request.
     * @param earlier The earlier request.
     * @return Whether the later one goes first.
     */
    private boolean goesBefore(long nowMillis, Entry<T> later, Entry<T> earlier) {
        if (later.urgency() != earlier.urgency()) {
            return later.urgency() < earlier.urgency();
        }
        return later.isOnTime(nowMillis) && !earlier.isOnTime(nowMillis);
    }

    /**
     * A request that waits.
     *
     * @param item The request.
     * @param urgency The urgency; 0 is the most urgent.
     * @param onTimeMillis The monotonic time until which it can start and still be on time.
     * @param giveUpMillis The monotonic time from which it can't end within its time.
     * @param <T> The type of the request.
     */
    public record Entry<T>(T item, int urgency, long onTimeMillis, long giveUpMillis) {

        /**
         * Tells whether the request can still be on time.
         *
         * @param nowMillis The present monotonic time in milliseconds.
         * @return Whether it can be on time.
         */
        boolean isOnTime(long nowMillis) {
            return nowMillis <= onTimeMillis;
        }
    }
}
