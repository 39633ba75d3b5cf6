package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.proxy.admission.WaitQueue;

/** The requests that wait until a backend server is available and has capacity, by pool. Not thread-safe. */
public final class PoolWaitQueues {

    /** The number of requests without a server after which no further ones are checked, since each check takes time. */
    private static final int MAXIMUM_UNAVAILABLE = 8;

    private final CustomerUse use;

    private final Map<String, WaitQueue<Exchange>> queues = new HashMap<>();

    /** The incarnation of the server, by pool, at which the next queued request found no capacity. */
    private final Map<String, String> awaited = new HashMap<>();

    /** @param use The recent usage of customers, by which requests of equal urgency are ordered. */
    public PoolWaitQueues(CustomerUse use) {
        this.use = use;
    }

    WaitQueue<Exchange> of(String pool) {
        return queues.computeIfAbsent(pool, name -> new WaitQueue<>(use));
    }

    /** Records that the next queued request of a pool waits for capacity at a server. */
    void recordAwaited(String pool, String incarnation) {
        awaited.put(pool, incarnation);
    }

    /**
     * Tells whether the next queued request of a pool waits for capacity at a server, so that one that has just arrived
     * must not take that capacity before it.
     */
    boolean isAwaited(String pool, String incarnation) {
        return incarnation.equals(awaited.get(pool)) && of(pool).size() > 0;
    }

    /**
     * Sends the requests that can be sent by now, and rejects the expired ones. A request without capacity holds back
     * those behind it; one without an available server does not, since others may have one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void dispatch(long nowMillis) {
        awaited.clear();
        for (WaitQueue<Exchange> queue : queues.values()) {
            queue.removeExpired(nowMillis).forEach(Exchange::expireInQueue);
            dispatch(nowMillis, queue);
        }
    }

    private static void dispatch(long nowMillis, WaitQueue<Exchange> queue) {
        int unavailable = 0;
        for (Exchange next : queue.inOrder(nowMillis)) {
            DispatchResult result = next.tryDispatch(queue.isNextReserved());
            if (result == DispatchResult.SENT) {
                queue.removeStarted(next);
                continue;
            }
            if (result == DispatchResult.ENDED) {
                queue.remove(next);
                continue;
            }
            unavailable++;
            if (result == DispatchResult.NO_CAPACITY || unavailable == MAXIMUM_UNAVAILABLE) {
                return;
            }
        }
    }

    /** Returns the number of queued requests of all pools. */
    public int size() {
        return queues.values().stream().mapToInt(WaitQueue::size).sum();
    }
}
