package org.cranberrygauge.decision.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The waiting requests of one class, served to its customers by weighted fair queueing over tokens.
 *
 * <p>Invariants: the virtual time of a customer that comes back from idleness is raised to that of the class, so that it
 * can't save up service; requests of one customer start in the order of arrival. Used by one thread at a time.
 */
final class ClassQueue {

    /** The class. */
    private ServiceClass serviceClass;

    /** The waiting requests by customer. */
    private final Map<String, Deque<QueuedRequest>> waiting = new HashMap<>();

    /** The virtual time of each customer, in tokens divided by weight. */
    private final Map<String, Double> virtualTimes = new HashMap<>();

    /** The virtual time of the last start. */
    private double virtualTime;

    /** The number of waiting requests. */
    private int size;

    /**
     * Creates a queue.
     *
     * @param serviceClass The class.
     */
    ClassQueue(ServiceClass serviceClass) {
        this.serviceClass = serviceClass;
    }

    /**
     * Replaces the class.
     *
     * @param replacement The class.
     */
    void configure(ServiceClass replacement) {
        serviceClass = replacement;
    }

    /**
     * Returns the class.
     *
     * @return The class.
     */
    ServiceClass serviceClass() {
        return serviceClass;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return The number.
     */
    int size() {
        return size;
    }

    /**
     * Adds a request.
     *
     * @param request The request.
     */
    void add(QueuedRequest request) {
        Deque<QueuedRequest> line = waiting.computeIfAbsent(request.customer(), name -> new ArrayDeque<>());
        if (line.isEmpty()) {
            virtualTimes.merge(request.customer(), virtualTime, Math::max);
        }
        line.addLast(request);
        size++;
    }

    /**
     * Takes the request of the customer that is served least so far among those that can start.
     *
     * @param canStart Tells whether a request could start now.
     * @return The request, or null.
     */
    QueuedRequest next(Predicate<QueuedRequest> canStart) {
        QueuedRequest best = null;
        double bestTime = Double.MAX_VALUE;
        for (Deque<QueuedRequest> line : waiting.values()) {
            QueuedRequest head = line.peekFirst();
            double time = virtualTimes.getOrDefault(head.customer(), 0.0);
            if (time < bestTime && canStart.test(head)) {
                best = head;
                bestTime = time;
            }
        }
        if (best != null) {
            take(best, bestTime);
        }
        return best;
    }

    /**
     * Removes the requests that are past their deadline.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The removed requests.
     */
    List<QueuedRequest> expire(long nowMillis) {
        List<QueuedRequest> expired = new ArrayList<>();
        for (Iterator<Deque<QueuedRequest>> lines = waiting.values().iterator(); lines.hasNext(); ) {
            Deque<QueuedRequest> line = lines.next();
            line.removeIf(request -> {
                boolean late = request.deadlineMillis() <= nowMillis;
                if (late) {
                    expired.add(request);
                }
                return late;
            });
            if (line.isEmpty()) {
                lines.remove();
            }
        }
        size -= expired.size();
        return expired;
    }

    /**
     * Removes the newest request of the customer that has the most waiting.
     *
     * @return The request, or null if none waits.
     */
    QueuedRequest shed() {
        Deque<QueuedRequest> longest = null;
        for (Deque<QueuedRequest> line : waiting.values()) {
            if (longest == null || line.size() > longest.size()) {
                longest = line;
            }
        }
        if (longest == null) {
            return null;
        }
        QueuedRequest last = longest.peekLast();
        remove(last.requestId());
        return last;
    }

    /**
     * Removes a request.
     *
     * @param requestId The identifier of the request.
     * @return Whether it was waiting.
     */
    boolean remove(long requestId) {
        for (Iterator<Deque<QueuedRequest>> lines = waiting.values().iterator(); lines.hasNext(); ) {
            Deque<QueuedRequest> line = lines.next();
            if (line.removeIf(request -> request.requestId() == requestId)) {
                size--;
                if (line.isEmpty()) {
                    lines.remove();
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Corrects the account of a customer.
     *
     * @param request The request as it was queued.
     * @param actualTokens The actual cost in tokens.
     */
    void correct(QueuedRequest request, long actualTokens) {
        double difference = (double) (actualTokens - request.estimatedTokens()) / request.customerWeight();
        virtualTimes.computeIfPresent(request.customer(), (name, time) -> time + difference);
    }

    /**
     * Takes a request out of the queue and charges its customer.
     *
     * @param request The request.
     * @param time The virtual time of its customer.
     */
    private void take(QueuedRequest request, double time) {
        virtualTime = Math.max(virtualTime, time);
        virtualTimes.put(request.customer(), time + (double) request.estimatedTokens() / request.customerWeight());
        Deque<QueuedRequest> line = waiting.get(request.customer());
        line.removeFirst();
        if (line.isEmpty()) {
            waiting.remove(request.customer());
        }
        size--;
    }
}
