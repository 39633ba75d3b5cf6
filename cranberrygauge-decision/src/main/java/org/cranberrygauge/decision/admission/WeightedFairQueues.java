package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Serves customers by weighted fair queueing over tokens.
 *
 * <p>Invariants: the virtual time of a customer that comes back from idleness is raised to that of the class, so that
 * it can't save up service; requests of one customer for one target start in the order of arrival; each operation
 * takes time logarithmic in the number of customers. Used by one thread at a time.
 */
public final class WeightedFairQueues implements CustomerQueues {

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

    /** The number of waiting requests by target. */
    private final Map<String, Integer> waitingCounts = new HashMap<>();

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
        line.tokens += request.cost();
        attach(line);
        size++;
        waitingCounts.merge(request.target(), 1, Integer::sum);
        waitingTokens.merge(request.target(), request.cost(), Long::sum);
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
        line.virtualTime += (double) request.cost() / line.weight;
        removed(line, request);
    }

    /**
     * Accounts for a request that left its line.
     *
     * @param line The line, detached.
     * @param request The request.
     */
    private void removed(Line line, QueuedRequest request) {
        line.tokens -= request.cost();
        attach(line);
        size--;
        waitingCounts.merge(request.target(), -1, Integer::sum);
        waitingTokens.merge(request.target(), -request.cost(), Long::sum);
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
                ready.computeIfAbsent(target, name -> new TreeSet<>(BY_SERVICE)).add(line);
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
