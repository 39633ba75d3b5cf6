package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The waiting requests of one class, in the order in which its customers are served.
 *
 * <p>Implementations are used by one thread at a time.
 */
public interface CustomerQueues {

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    void add(QueuedRequest request);

    /**
     * Takes the request that starts next.
     *
     * @param canStart Tells whether a request could start now.
     * @return The request, or null if none can start.
     */
    QueuedRequest next(Predicate<QueuedRequest> canStart);

    /**
     * Finds the request for a target that would start next.
     *
     * @param target The model or service.
     * @return The request, or null if none waits.
     */
    QueuedRequest first(String target);

    /**
     * Removes a request.
     *
     * @param request The request.
     * @return Whether it was waiting.
     */
    boolean remove(QueuedRequest request);

    /**
     * Finds the request that is shed first.
     *
     * @return The request, or null if none waits.
     */
    QueuedRequest shedFirst();

    /**
     * Estimates the work of this class that starts before a new request.
     *
     * @param request The new request, which doesn't wait yet.
     * @return The work in tokens.
     */
    long tokensAhead(QueuedRequest request);

    /**
     * Returns the work that waits for a target.
     *
     * @param target The model or service.
     * @return The work in tokens.
     */
    long waitingTokens(String target);

    /**
     * Returns the number of requests that wait for a target.
     *
     * @param target The model or service.
     * @return The number.
     */
    int waiting(String target);

    /**
     * Returns the number of waiting requests.
     *
     * @return The number.
     */
    int size();

    /**
     * Corrects the account of a customer.
     *
     * @param request The request as it was queued.
     * @param actualTokens The actual cost in tokens.
     */
    void correct(QueuedRequest request, long actualTokens);

    /**
     * Serves requests in the order of arrival, whoever sent them.
     *
     * <p>Used by one thread at a time.
     */
    final class FirstInFirstOut implements CustomerQueues {

        /** The requests by target. */
        private final Map<String, Deque<QueuedRequest>> byTarget = new HashMap<>();

        /** The waiting work by target in tokens. */
        private final Map<String, Long> waitingTokens = new HashMap<>();

        /** The number of waiting requests. */
        private int size;

        @Override
        public void add(QueuedRequest request) {
            byTarget.computeIfAbsent(request.target(), name -> new ArrayDeque<>())
                    .addLast(request);
            waitingTokens.merge(request.target(), request.cost(), Long::sum);
            size++;
        }

        @Override
        public QueuedRequest next(Predicate<QueuedRequest> canStart) {
            QueuedRequest best = null;
            for (Deque<QueuedRequest> waiting : byTarget.values()) {
                QueuedRequest head = waiting.peekFirst();
                boolean earlier = head != null && (best == null || head.arrivedAtMillis() < best.arrivedAtMillis());
                if (earlier && canStart.test(head)) {
                    best = head;
                }
            }
            if (best != null) {
                remove(best);
            }
            return best;
        }

        @Override
        public QueuedRequest first(String target) {
            Deque<QueuedRequest> waiting = byTarget.get(target);
            return waiting == null ? null : waiting.peekFirst();
        }

        @Override
        public boolean remove(QueuedRequest request) {
            Deque<QueuedRequest> waiting = byTarget.get(request.target());
            if (waiting == null || !waiting.remove(request)) {
                return false;
            }
            waitingTokens.merge(request.target(), -request.cost(), Long::sum);
            size--;
            return true;
        }

        @Override
        public QueuedRequest shedFirst() {
            QueuedRequest newest = null;
            for (Deque<QueuedRequest> waiting : byTarget.values()) {
                QueuedRequest last = waiting.peekLast();
                if (last != null && (newest == null || last.requestId() > newest.requestId())) {
                    newest = last;
                }
            }
            return newest;
        }

        @Override
        public long tokensAhead(QueuedRequest request) {
            return waitingTokens(request.target());
        }

        @Override
        public long waitingTokens(String target) {
            return waitingTokens.getOrDefault(target, 0L);
        }

        @Override
        public int waiting(String target) {
            Deque<QueuedRequest> waiting = byTarget.get(target);
            return waiting == null ? 0 : waiting.size();
        }

        @Override
        public int size() {
            return size;
        }

        @Override
        public void correct(QueuedRequest request, long actualTokens) {
            // The order of arrival needs no account.
        }
    }
}
