package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.proxy.admission.WaitQueue;

/** The requests that wait until an engine has capacity, by pool. Not thread-safe. */
public final class PoolWaitQueues {

    private final Map<String, WaitQueue<Exchange>> queues = new HashMap<>();

    WaitQueue<Exchange> of(String pool) {
        return queues.computeIfAbsent(pool, name -> new WaitQueue<>());
    }

    /**
     * Sends the requests for which an engine has capacity by now, and rejects the expired ones.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void dispatch(long nowMillis) {
        for (WaitQueue<Exchange> queue : queues.values()) {
            queue.removeExpired(nowMillis).forEach(Exchange::expireInQueue);
            Optional<Exchange> next = queue.peek(nowMillis);
            while (next.isPresent() && next.get().tryDispatch()) {
                queue.remove(next.get());
                next = queue.peek(nowMillis);
            }
        }
    }

    /** Returns the number of queued requests of all pools. */
    public int size() {
        return queues.values().stream().mapToInt(WaitQueue::size).sum();
    }
}
