package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Schedules customers by weighted fair queueing over tokens.
 *
 * <p>Invariants: the virtual time of a customer that returns from idleness is raised to the virtual time of the class,
 * so that it cannot save up service; requests of one customer for one target start in order of arrival; each operation
 * takes time logarithmic in the number of customers. Not thread-safe; callers serialize access.
 */
public final class WeightedFairQueues implements CustomerQueues {

    /** The number of customers tried for a target before the target counts as unable to start any request. */
    private static final int MAXIMUM_CUSTOMERS_TRIED = 4;

    /** The scheduling order: least served customer first. */
    private static final Comparator<CustomerQueue> BY_VIRTUAL_TIME = Comparator.<CustomerQueue>comparingDouble(
                    queue -> queue.virtualTime)
            .thenComparing(queue -> queue.customer);

    /** The shedding order: the last customer, with the largest backlog relative to its weight, sheds first. */
    private static final Comparator<CustomerQueue> BY_BACKLOG = Comparator.<CustomerQueue>comparingDouble(
                    queue -> (double) queue.tokens / queue.weight)
            .thenComparing(queue -> queue.customer);

    private final Map<String, CustomerQueue> queues = new HashMap<>();

    /** The customers with requests for each target, in scheduling order. */
    private final Map<String, TreeSet<CustomerQueue>> ready = new HashMap<>();

    /** The customers with any waiting request, ordered by backlog. */
    private final TreeSet<CustomerQueue> backlog = new TreeSet<>(BY_BACKLOG);

    /** The waiting work in tokens by target. */
    private final Map<String, Long> waitingTokens = new HashMap<>();

    /** The number of waiting requests by target. */
    private final Map<String, Integer> waitingCounts = new HashMap<>();

    /** The virtual time at the last start. */
    private double virtualTime;

    /** The number of waiting requests, over all targets. */
    private int size;

    /** The total weight of the customers with waiting requests. */
    private long activeWeight;

    @Override
    public void add(QueuedRequest request) {
        CustomerQueue queue = queues.computeIfAbsent(request.customer(), CustomerQueue::new);
        detach(queue);
        queue.weight = Math.max(1, request.customerWeight());
        if (queue.tokens == 0) {
            queue.virtualTime = Math.max(queue.virtualTime, virtualTime);
        }
        queue.waiting(request.target()).addLast(request);
        queue.tokens += request.cost();
        attach(queue);
        size++;
        waitingCounts.merge(request.target(), 1, Integer::sum);
        waitingTokens.merge(request.target(), request.cost(), Long::sum);
    }

    @Override
    public QueuedRequest next(Predicate<QueuedRequest> canStart) {
        QueuedRequest best = null;
        CustomerQueue bestQueue = null;
        for (Map.Entry<String, TreeSet<CustomerQueue>> target : ready.entrySet()) {
            int tried = 0;
            for (CustomerQueue queue : target.getValue()) {
                if (tried == MAXIMUM_CUSTOMERS_TRIED
                        || bestQueue != null && BY_VIRTUAL_TIME.compare(queue, bestQueue) >= 0) {
                    break;
                }
                tried++;
                QueuedRequest head = queue.waiting(target.getKey()).peekFirst();
                if (canStart.test(head)) {
                    best = head;
                    bestQueue = queue;
                    break;
                }
            }
        }
        if (best != null) {
            dequeue(bestQueue, best);
        }
        return best;
    }

    @Override
    public QueuedRequest first(String target) {
        TreeSet<CustomerQueue> waiting = ready.get(target);
        return waiting == null || waiting.isEmpty()
                ? null
                : waiting.first().waiting(target).peekFirst();
    }

    @Override
    public boolean remove(QueuedRequest request) {
        CustomerQueue queue = queues.get(request.customer());
        if (queue == null || !queue.waiting(request.target()).contains(request)) {
            return false;
        }
        detach(queue);
        queue.waiting(request.target()).remove(request);
        updateTotals(queue, request);
        return true;
    }

    @Override
    public QueuedRequest shedCandidate() {
        if (backlog.isEmpty()) {
            return null;
        }
        QueuedRequest newest = null;
        for (Deque<QueuedRequest> waiting : backlog.last().byTarget.values()) {
            QueuedRequest last = waiting.peekLast();
            if (last != null && (newest == null || last.requestId() > newest.requestId())) {
                newest = last;
            }
        }
        return newest;
    }

    @Override
    public long tokensAhead(QueuedRequest request) {
        long all = waitingTokens(request.target());
        CustomerQueue queue = queues.get(request.customer());
        long own = queue == null ? 0 : queue.tokens;
        int weight = Math.max(1, request.customerWeight());
        long weights = activeWeight + (own == 0 ? weight : 0);
        return Math.min(all, (own + request.cost()) * weights / weight);
    }

    @Override
    public long waitingTokens(String target) {
        return waitingTokens.getOrDefault(target, 0L);
    }

    @Override
    public int waiting(String target) {
        return waitingCounts.getOrDefault(target, 0);
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public void correctCharge(QueuedRequest request, long actualTokens) {
        CustomerQueue queue = queues.get(request.customer());
        if (queue == null) {
            return;
        }
        detach(queue);
        queue.virtualTime += (double) (actualTokens - request.estimatedTokens()) / queue.weight;
        attach(queue);
    }

    /** Dequeues a request and charges its customer. */
    private void dequeue(CustomerQueue queue, QueuedRequest request) {
        detach(queue);
        queue.waiting(request.target()).removeFirst();
        virtualTime = Math.max(virtualTime, queue.virtualTime);
        queue.virtualTime += (double) request.cost() / queue.weight;
        updateTotals(queue, request);
    }

    /**
     * Updates the totals after a request has left its queue, and reinserts the queue into the orders.
     *
     * @param queue The queue of the customer, detached.
     */
    private void updateTotals(CustomerQueue queue, QueuedRequest request) {
        queue.tokens -= request.cost();
        attach(queue);
        size--;
        waitingCounts.merge(request.target(), -1, Integer::sum);
        waitingTokens.merge(request.target(), -request.cost(), Long::sum);
    }

    /** Removes a queue from the orders before its sort keys change. */
    private void detach(CustomerQueue queue) {
        if (queue.tokens == 0) {
            return;
        }
        backlog.remove(queue);
        activeWeight -= queue.weight;
        queue.byTarget.forEach((target, waiting) -> {
            if (!waiting.isEmpty()) {
                ready.get(target).remove(queue);
            }
        });
    }

    /** Inserts a queue into the orders after its sort keys changed. */
    private void attach(CustomerQueue queue) {
        if (queue.tokens == 0) {
            return;
        }
        backlog.add(queue);
        activeWeight += queue.weight;
        queue.byTarget.forEach((target, waiting) -> {
            if (!waiting.isEmpty()) {
                ready.computeIfAbsent(target, name -> new TreeSet<>(BY_VIRTUAL_TIME))
                        .add(queue);
            }
        });
    }

    /** The waiting requests of one customer. */
    private static final class CustomerQueue {

        private final String customer;

        private final Map<String, Deque<QueuedRequest>> byTarget = new HashMap<>();

        private int weight = 1;

        /** The service received so far, in tokens divided by weight. */
        private double virtualTime;

        /** The waiting work in tokens; 0 if and only if nothing is waiting. */
        private long tokens;

        private CustomerQueue(String customer) {
            this.customer = customer;
        }

        private Deque<QueuedRequest> waiting(String target) {
            return byTarget.computeIfAbsent(target, name -> new ArrayDeque<>());
        }
    }
}
