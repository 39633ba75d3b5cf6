package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.proxy.admission.WaitQueue;

/**
 * The requests that wait for room at the engines of each pool.
 *
 * <p>Used by one thread.
 */
public final class PoolWaitQueues {

    /** The lines by name of the pool. */
    private final Map<String, WaitQueue<Exchange>> lines = new HashMap<>();

    /**
     * Returns the line of a pool.
     *
     * @param pool The name of the pool.
     * @return The line.
     */
    WaitQueue<Exchange> of(String pool) {
        return lines.computeIfAbsent(pool, name -> new WaitQueue<>());
    }

    /**
     * Lets requests go on for which there is room, and gives up those whose time is short.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    public void advance(long nowMillis) {
        for (WaitQueue<Exchange> line : lines.values()) {
            line.removeExpired(nowMillis).forEach(Exchange::expireInQueue);
            Optional<Exchange> first = line.peek(nowMillis);
            while (first.isPresent() && first.get().tryDispatch()) {
                line.remove(first.get());
                first = line.peek(nowMillis);
            }
        }
    }

    /**
     * Returns the number of requests that wait.
     *
     * @return The number.
     */
    public int size() {
        return lines.values().stream().mapToInt(WaitQueue::size).sum();
    }
}
