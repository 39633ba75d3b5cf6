package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The waiting requests of one service class, ordered by the customer to serve next.
 *
 * <p>Implementations are not thread-safe; callers serialize access.
 */
public interface CustomerQueues {

    /** Adds a waiting request. */
    void add(QueuedRequest request);

    /**
     * Dequeues the request to start next.
     *
     * @param canStart Returns whether a request could start now.
     * @return The request, or {@code null} if none can start.
     */
    QueuedRequest next(Predicate<QueuedRequest> canStart);

    /**
     * Returns the request for a target that would start next.
     *
     * @return The request, or {@code null} if none is waiting.
     */
    QueuedRequest first(String target);

    /**
     * Removes a waiting request.
     *
     * @return {@code true} if the request was waiting.
     */
    boolean remove(QueuedRequest request);

    /**
     * Returns the request to shed first.
     *
     * @return The request, or {@code null} if none is waiting.
     */
    QueuedRequest shedCandidate();

    /**
     * Estimates the work of this class that starts before a new request.
     *
     * @param request The new request, which is not in the queue yet.
     * @return The work in tokens.
     */
    long tokensAhead(QueuedRequest request);

    /**
     * Returns the work that waits for a target.
     *
     * @return The work in tokens.
     */
    long waitingTokens(String target);

    /** Returns the number of requests that wait for a target. */
    int waiting(String target);

    /** Returns the number of waiting requests. */
    int size();

    /**
     * Corrects the charge of a customer once the actual cost of a request is known.
     *
     * @param actualTokens The actual cost in tokens.
     */
    void correctCharge(QueuedRequest request, long actualTokens);

    /**
     * Serves requests in order of arrival, regardless of the customer.
     *
     * <p>Not thread-safe; callers serialize access.
     */
    final class FirstInFirstOut implements CustomerQueues {

        private final Map<String, Deque<QueuedRequest>> byTarget = new HashMap<>();

        /** The waiting work in tokens by target. */
        private final Map<String, Long> waitingTokens = new HashMap<>();

        /** The number of waiting requests, over all targets. */
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
        public QueuedRequest shedCandidate() {
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
        public void correctCharge(QueuedRequest request, long actualTokens) {
            // The order of arrival does not depend on charges.
        }
    }
}
