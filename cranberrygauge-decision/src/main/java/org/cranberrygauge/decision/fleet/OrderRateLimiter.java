package org.cranberrygauge.decision.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Bounds the rate of orders, and backs off from pools without supply.
 *
 * <p>Invariants: two orders of a pool are at least the shortest interval apart; a pool that was unavailable gets no larger
 * order until its back-off is over, which doubles with each failure up to a limit; all pools together get a bounded number
 * of orders a minute. Used by one thread.
 */
public final class OrderRateLimiter {

    /** The result of an order for which the data centre had no supply. */
    public static final String UNAVAILABLE = "unavailable";

    /** The shortest time between two orders of a pool in milliseconds. */
    private static final long SHORTEST_MILLIS = 1_000;

    /** The first back-off in milliseconds. */
    private static final long FIRST_BACKOFF_MILLIS = 5_000;

    /** The longest back-off in milliseconds. */
    private static final long LONGEST_BACKOFF_MILLIS = 300_000;

    /** The time over which orders are counted in milliseconds. */
    private static final long MINUTE_MILLIS = 60_000;

    /** The highest number of orders in a minute. */
    private final int ordersPerMinute;

    /** The monotonic times of the orders of the last minute. */
    private final Deque<Long> recent = new ArrayDeque<>();

    /** The monotonic time of the last order of each pool. */
    private final Map<String, Long> orderedAtMillis = new HashMap<>();

    /** The pools without supply. */
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Creates a pacing.
     *
     * @param ordersPerMinute The highest number of orders in a minute.
     */
    public OrderRateLimiter(int ordersPerMinute) {
        this.ordersPerMinute = ordersPerMinute;
    }

    /**
     * Tells whether a pool may be ordered now.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param pool The name of the pool.
     * @return Whether it may.
     */
    public boolean mayOrder(long nowMillis, String pool) {
        while (!recent.isEmpty() && recent.peekFirst() + MINUTE_MILLIS <= nowMillis) {
            recent.removeFirst();
        }
        Long last = orderedAtMillis.get(pool);
        boolean apart = last == null || nowMillis - last >= SHORTEST_MILLIS;
        return apart && recent.size() < ordersPerMinute;
    }

    /**
     * Notes that a pool was ordered.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param pool The name of the pool.
     */
    public void ordered(long nowMillis, String pool) {
        recent.addLast(nowMillis);
        orderedAtMillis.put(pool, nowMillis);
    }

    /**
     * Notes what became of an order.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param pool The name of the pool.
     * @param result The result.
     */
    public void ended(long nowMillis, String pool, String result) {
        if (!result.equals(UNAVAILABLE)) {
            backoffs.remove(pool);
            return;
        }
        Backoff before = backoffs.get(pool);
        long length = before == null ? FIRST_BACKOFF_MILLIS : Math.min(LONGEST_BACKOFF_MILLIS, before.millis() * 2);
        backoffs.put(pool, new Backoff(length, nowMillis + length));
    }

    /**
     * Lists the pools that are backed off from.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The names of the pools.
     */
    public Set<String> unavailable(long nowMillis) {
        return backoffs.entrySet().stream()
                .filter(entry -> entry.getValue().untilMillis() > nowMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * A back-off.
     *
     * @param millis The length in milliseconds.
     * @param untilMillis The monotonic time of its end.
     */
    private record Backoff(long millis, long untilMillis) {}
}
