package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.proxy.admission.WaitQueue;

/** The requests that wait until a backend server is available and has capacity, by pool. Not thread-safe. */
public final class PoolWaitQueues {

    /** The number of requests without a server after which no further ones are checked, since each check takes time. */
    private static final int MAXIMUM_UNAVAILABLE = 8;

    private final Map<String, WaitQueue<Exchange>> queues = new HashMap<>();

    WaitQueue<Exchange> of(String pool) {
        return queues.computeIfAbsent(pool, name -> new WaitQueue<>());
    }

    /**
     * Sends the requests that can be sent by now, and rejects the expired ones. A request without capacity holds back
     * those behind it, except those that can't wait any longer; one without an available server holds back none, since
     * others may have one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void dispatch(long nowMillis) {
        for (WaitQueue<Exchange> queue : queues.values()) {
            queue.removeExpired(nowMillis).forEach(Exchange::expireInQueue);
            dispatch(nowMillis, queue);
        }
    }

    /**
     * Sends the requests of one pool that can be sent by now.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void dispatch(long nowMillis, String pool) {
        dispatch(nowMillis, of(pool));
    }

    private static void dispatch(long nowMillis, WaitQueue<Exchange> queue) {
        int unavailable = 0;
        boolean full = false;
        for (Exchange next : queue.inOrder(nowMillis)) {
            if (full && !next.mustStart(nowMillis)) {
                continue;
            }
            DispatchResult result = next.tryDispatch();
            if (result == DispatchResult.SENT || result == DispatchResult.ENDED) {
                queue.remove(next);
                continue;
            }
            unavailable++;
            full |= result == DispatchResult.NO_CAPACITY;
            if (unavailable == MAXIMUM_UNAVAILABLE) {
                return;
            }
        }
    }

    /** Returns the number of queued requests of all pools. */
    public int size() {
        return queues.values().stream().mapToInt(WaitQueue::size).sum();
    }
}
