package org.cranberrygauge.proxy.exchange;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.fairness.FairOrder.Entry;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.WaitQueue;

/** The requests that wait until a backend server is available and has capacity, by pool. Not thread-safe. */
public final class PoolWaitQueues {

    /** The number of requests without a server after which no further ones are checked, since each check takes time. */
    private static final int MAXIMUM_UNAVAILABLE = 8;

    private final CustomerUse use;

    private final Map<String, WaitQueue<Exchange>> queues = new HashMap<>();

    private final Map<String, PoolReturns> returns = new HashMap<>();

    private final RandomGenerator random;

    /** Called when a request is queued. */
    private Runnable onQueued = () -> {};

    /** The incarnation of the server, by pool, at which the next queued request found no capacity. */
    private final Map<String, String> awaited = new HashMap<>();

    /**
     * @param use The recent usage of customers, by which requests of equal urgency are ordered.
     * @param random Spreads the returns of rejected callers.
     */
    public PoolWaitQueues(CustomerUse use, RandomGenerator random) {
        this.use = use;
        this.random = random;
    }

    /** Sets the callback for a request that is queued, after which {@link #dispatch(long)} is to be called regularly. */
    public void onQueued(Runnable callback) {
        onQueued = callback;
    }

    void add(String pool, Entry<Exchange> entry) {
        of(pool).add(entry);
        onQueued.run();
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
        awaited.clear();
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
            if (full && !next.selection.mustStart(nowMillis)) {
                continue;
            }
            DispatchResult result = next.tryDispatch(queue.isNextReserved());
            if (result == DispatchResult.SENT) {
                queue.removeStarted(next);
                starts.recordStart(nowMillis, next.cost());
                continue;
            }
            if (result == DispatchResult.ENDED) {
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
