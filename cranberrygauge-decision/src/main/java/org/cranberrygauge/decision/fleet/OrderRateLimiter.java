package org.cranberrygauge.decision.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Limits the rate of orders, and backs off from pools without supply.
 *
 * <p>Invariants: two orders of a pool are at least {@link #MINIMUM_INTERVAL_MILLIS} apart; a pool that was unavailable
 * gets no larger order until its back-off is over, which doubles with each failure up to a limit; all pools together
 * get a bounded number of orders per minute. Not thread-safe; confined to one thread.
 */
public final class OrderRateLimiter {

    /** The result of an order for which the data centre had no supply. */
    public static final String UNAVAILABLE = "unavailable";

    /** The minimum time between two orders of a pool in milliseconds. */
    private static final long MINIMUM_INTERVAL_MILLIS = 1_000;

    /** The first back-off in milliseconds. */
    private static final long FIRST_BACKOFF_MILLIS = 5_000;

    /** The longest back-off in milliseconds. */
    private static final long LONGEST_BACKOFF_MILLIS = 300_000;

    /** The length in milliseconds of the window in which orders are counted. */
    private static final long MINUTE_MILLIS = 60_000;

    private final int ordersPerMinute;

    /** The monotonic times in milliseconds of the orders within the last minute. */
    private final Deque<Long> recentOrders = new ArrayDeque<>();

    /** The monotonic time in milliseconds of the last order of each pool. */
    private final Map<String, Long> orderedAtMillis = new HashMap<>();

    /** The back-offs of pools without supply. */
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Creates a limiter without any recorded order.
     *
     * @param ordersPerMinute The maximum number of orders per minute over all pools.
     */
    public OrderRateLimiter(int ordersPerMinute) {
        this.ordersPerMinute = ordersPerMinute;
    }

    /** Returns whether the rate limits allow an order of a pool now. Back-offs are not considered. */
    public boolean mayOrder(long nowMillis, String pool) {
        while (!recentOrders.isEmpty() && recentOrders.peekFirst() + MINUTE_MILLIS <= nowMillis) {
            recentOrders.removeFirst();
        }
        Long last = orderedAtMillis.get(pool);
        boolean intervalElapsed = last == null || nowMillis - last >= MINIMUM_INTERVAL_MILLIS;
        return intervalElapsed && recentOrders.size() < ordersPerMinute;
    }

    /** Records an order of a pool. */
    public void ordered(long nowMillis, String pool) {
        recentOrders.addLast(nowMillis);
        orderedAtMillis.put(pool, nowMillis);
    }

    /**
     * Records the result of an order. {@link #UNAVAILABLE} starts or doubles the back-off of the pool, any other ends
     * it.
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

    /** Returns the pools that are in back-off. */
    public Set<String> unavailable(long nowMillis) {
        return backoffs.entrySet().stream()
                .filter(entry -> entry.getValue().untilMillis() > nowMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The back-off of a pool.
     *
     * @param millis The length in milliseconds.
     * @param untilMillis The monotonic time of its end in milliseconds.
     */
    private record Backoff(long millis, long untilMillis) {}
}
