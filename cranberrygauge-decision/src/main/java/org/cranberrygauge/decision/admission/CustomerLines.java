package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The waiting requests of one class, in the order in which its customers are served.
 *
 * <p>Implementations are used by one thread at a time.
 */
public interface CustomerLines {

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
     * Serves customers by weighted fair queueing over tokens.
     *
     * <p>Invariants: the virtual time of a customer that comes back from idleness is raised to that of the class, so that
     * it can't save up service; requests of one customer for one target start in the order of arrival; each operation
     * takes time logarithmic in the number of customers. Used by one thread at a time.
     */
    final class WeightedFair implements CustomerLines {

        /** The number of customers that are tried for a target before it counts as unable to start any. */
        private static final int CUSTOMERS_TRIED = 4;

        /** The order of service. */
        private static final Comparator<Line> BY_SERVICE =
                Comparator.<Line>comparingDouble(line -> line.virtualTime).thenComparing(line -> line.customer);

        /** The order of shedding. */
        private static final Comparator<Line> BY_BACKLOG = Comparator.<Line>comparingDouble(
                        line -> (double) line.tokens / line.weight)
                .thenComparing(line -> line.customer);

        /** The lines by customer. */
        private final Map<String, Line> lines = new HashMap<>();

        /** The lines that wait for each target, least served first. */
        private final Map<String, TreeSet<Line>> ready = new HashMap<>();

        /** The lines that wait for anything, smallest backlog first. */
        private final TreeSet<Line> backlog = new TreeSet<>(BY_BACKLOG);

        /** The waiting work by target in tokens. */
        private final Map<String, Long> waitingTokens = new HashMap<>();

        /** The virtual time of the last start. */
        private double virtualTime;

        /** The number of waiting requests. */
        private int size;

        /** The sum of the weights of the customers that wait. */
        private long activeWeight;

        @Override
        public void add(QueuedRequest request) {
            Line line = lines.computeIfAbsent(request.customer(), Line::new);
            detach(line);
            line.weight = Math.max(1, request.customerWeight());
            if (line.tokens == 0) {
                line.virtualTime = Math.max(line.virtualTime, virtualTime);
            }
            line.waiting(request.target()).addLast(request);
            line.tokens += cost(request);
            attach(line);
            size++;
            waitingTokens.merge(request.target(), cost(request), Long::sum);
        }

        @Override
        public QueuedRequest next(Predicate<QueuedRequest> canStart) {
            QueuedRequest best = null;
            Line bestLine = null;
            for (Map.Entry<String, TreeSet<Line>> target : ready.entrySet()) {
                int tried = 0;
                for (Line line : target.getValue()) {
                    if (tried == CUSTOMERS_TRIED || bestLine != null && BY_SERVICE.compare(line, bestLine) >= 0) {
                        break;
                    }
                    tried++;
                    QueuedRequest head = line.waiting(target.getKey()).peekFirst();
                    if (canStart.test(head)) {
                        best = head;
                        bestLine = line;
                        break;
                    }
                }
            }
            if (best != null) {
                take(bestLine, best);
            }
            return best;
        }

        @Override
        public QueuedRequest first(String target) {
            TreeSet<Line> waiting = ready.get(target);
            return waiting == null || waiting.isEmpty()
                    ? null
                    : waiting.first().waiting(target).peekFirst();
        }

        @Override
        public boolean remove(QueuedRequest request) {
            Line line = lines.get(request.customer());
            if (line == null || !line.waiting(request.target()).contains(request)) {
                return false;
            }
            detach(line);
            line.waiting(request.target()).remove(request);
            removed(line, request);
            return true;
        }

        @Override
        public QueuedRequest shedFirst() {
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
            Line line = lines.get(request.customer());
            long own = line == null ? 0 : line.tokens;
            int weight = Math.max(1, request.customerWeight());
            long weights = activeWeight + (own == 0 ? weight : 0);
            return Math.min(all, (own + cost(request)) * weights / weight);
        }

        @Override
        public long waitingTokens(String target) {
            return waitingTokens.getOrDefault(target, 0L);
        }

        @Override
        public int size() {
            return size;
        }

        @Override
        public void correct(QueuedRequest request, long actualTokens) {
            Line line = lines.get(request.customer());
            if (line == null) {
                return;
            }
            detach(line);
            line.virtualTime += (double) (actualTokens - request.estimatedTokens()) / line.weight;
            attach(line);
        }

        /**
         * Takes a request out of the queue and charges its customer.
         *
         * @param line The line of the customer.
         * @param request The request.
         */
        private void take(Line line, QueuedRequest request) {
            detach(line);
            line.waiting(request.target()).removeFirst();
            virtualTime = Math.max(virtualTime, line.virtualTime);
            line.virtualTime += (double) cost(request) / line.weight;
            removed(line, request);
        }

        /**
         * Accounts for a request that left its line.
         *
         * @param line The line, detached.
         * @param request The request.
         */
        private void removed(Line line, QueuedRequest request) {
            line.tokens -= cost(request);
            attach(line);
            size--;
            waitingTokens.merge(request.target(), -cost(request), Long::sum);
        }

        /**
         * Takes a line out of the orders before it changes.
         *
         * @param line The line.
         */
        private void detach(Line line) {
            if (line.tokens == 0) {
                return;
            }
            backlog.remove(line);
            activeWeight -= line.weight;
            line.byTarget.forEach((target, waiting) -> {
                if (!waiting.isEmpty()) {
                    ready.get(target).remove(line);
                }
            });
        }

        /**
         * Puts a line into the orders after it changed.
         *
         * @param line The line.
         */
        private void attach(Line line) {
            if (line.tokens == 0) {
                return;
            }
            backlog.add(line);
            activeWeight += line.weight;
            line.byTarget.forEach((target, waiting) -> {
                if (!waiting.isEmpty()) {
                    ready.computeIfAbsent(target, name -> new TreeSet<>(BY_SERVICE))
                            .add(line);
                }
            });
        }

        /** The waiting requests of one customer. */
        private static final class Line {

            /** The customer. */
            private final String customer;

            /** The requests by target. */
            private final Map<String, Deque<QueuedRequest>> byTarget = new HashMap<>();

            /** The weight of the customer. */
            private int weight = 1;

            /** The service so far in tokens divided by weight. */
            private double virtualTime;

            /** The waiting work in tokens; 0 exactly if nothing waits. */
            private long tokens;

            /**
             * Creates a line.
             *
             * @param customer The customer.
             */
            private Line(String customer) {
                this.customer = customer;
            }

            /**
             * Returns the requests for a target.
             *
             * @param target The model or service.
             * @return The requests in the order of arrival.
             */
            private Deque<QueuedRequest> waiting(String target) {
                return byTarget.computeIfAbsent(target, name -> new ArrayDeque<>());
            }
        }
    }

    /**
     * Serves requests in the order of arrival, whoever sent them.
     *
     * <p>Used by one thread at a time.
     */
    final class FirstInFirstOut implements CustomerLines {

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
            waitingTokens.merge(request.target(), cost(request), Long::sum);
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
            waitingTokens.merge(request.target(), -cost(request), Long::sum);
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
        public int size() {
            return size;
        }

        @Override
        public void correct(QueuedRequest request, long actualTokens) {
            // The order of arrival needs no account.
        }
    }

    /**
     * Returns the cost of a request.
     *
     * @param request The request.
     * @return The estimated cost, at least one token.
     */
    private static long cost(QueuedRequest request) {
        return Math.max(1, request.estimatedTokens());
    }
}
