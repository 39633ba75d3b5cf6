package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.WaitQueue;

/** The requests that wait until a backend server is available and has capacity, by pool. Not thread-safe. */
public final class PoolWaitQueues {

    /** The number of requests without a server after which no further ones are checked, since each check takes time. */
    private static final int MAXIMUM_UNAVAILABLE = 8;

    private final Map<String, WaitQueue<Exchange>> queues = new HashMap<>();

    private final Map<String, PoolReturns> returns = new HashMap<>();

    private final RandomGenerator random;

    /** @param random Spreads the returns of rejected callers. */
    public PoolWaitQueues(RandomGenerator random) {
        this.random = random;
    }

    WaitQueue<Exchange> of(String pool) {
        return queues.computeIfAbsent(pool, name -> new WaitQueue<>());
    }

    /**
     * Returns how long the caller of a request that a pool cannot serve should wait.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    OptionalLong retryAfterMillis(long nowMillis, String pool, RejectReason reason, ProxyRequest request) {
        WaitQueue<Exchange> queue = of(pool);
        return returnsOf(pool)
                .retryAfterMillis(
                        nowMillis,
                        reason,
                        queue.size(),
                        queue.sum(Exchange::cost),
                        request.cost(),
                        request.deadlineMillis() - nowMillis);
    }

    private PoolReturns returnsOf(String pool) {
        return returns.computeIfAbsent(pool, name -> new PoolReturns(random));
    }

    /**
     * Sends the requests that can be sent by now, and rejects the expired ones. A request without capacity holds back
     * those behind it, except those that can't wait any longer; one without an available server holds back none, since
     * others may have one.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public void dispatch(long nowMillis) {
        queues.forEach((pool, queue) -> {
            PoolReturns starts = returnsOf(pool);
            queue.removeExpired(nowMillis).forEach(Exchange::expireInQueue);
            starts.observe(nowMillis, queue.size() > 0);
            dispatch(nowMillis, queue, starts);
            starts.observe(nowMillis, queue.size() > 0);
        });
    }

    /**
     * Sends the requests of one pool that can be sent by now.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void dispatch(long nowMillis, String pool) {
        dispatch(nowMillis, of(pool), returnsOf(pool));
    }

    private static void dispatch(long nowMillis, WaitQueue<Exchange> queue, PoolReturns starts) {
        int unavailable = 0;
        boolean full = false;
        for (Exchange next : queue.inOrder(nowMillis)) {
            if (full && !next.mustStart(nowMillis)) {
                continue;
            }
            DispatchResult result = next.tryDispatch();
            if (result == DispatchResult.SENT || result == DispatchResult.ENDED) {
                queue.remove(next);
                if (result == DispatchResult.SENT) {
                    starts.recordStart(nowMillis, next.cost());
                }
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
