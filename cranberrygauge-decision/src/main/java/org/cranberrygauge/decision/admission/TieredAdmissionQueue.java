package org.cranberrygauge.decision.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Serves higher tiers first, and each class at least its guaranteed share of starts.
 *
 * <p>Invariants: a full queue sheds from the lowest tier that waits, never a higher tier for a lower one; a guaranteed
 * share delays a higher tier and never sheds it; a refused request is refused at once. Used by one thread at a time.
 */
public final class TieredAdmissionQueue implements AdmissionQueue {

    /** The highest credit a class can save, in starts. */
    private static final double CREDIT_LIMIT = 4;

    /** The credit from which a class starts before higher tiers, in starts. */
    private static final double CREDIT_OF_START = 1;

    /** The shortest time that a refused caller is told to wait in milliseconds. */
    private static final long SHORTEST_RETRY_MILLIS = 1_000;

    /** The weight of the newest sample in the estimate of the time between starts. */
    private static final double SMOOTHING = 0.1;

    /** The queues by class. */
    private final Map<String, ClassQueue> queues = new HashMap<>();

    /** The queues in the order of their tiers. */
    private List<ClassQueue> byTier = List.of();

    /** The guaranteed starts that each class has not used yet. */
    private final Map<String, Double> credits = new HashMap<>();

    /** The smoothed time between starts in milliseconds. */
    private double startIntervalMillis = 100;

    /** The monotonic time of the last start. */
    private long lastStartMillis = -1;

    @Override
    public void configure(List<ServiceClass> classes) {
        for (ServiceClass serviceClass : classes) {
            queues.computeIfAbsent(serviceClass.name(), name -> new ClassQueue(serviceClass))
                    .configure(serviceClass);
        }
        queues.values().removeIf(queue -> queue.size() == 0 && !classes.contains(queue.serviceClass()));
        byTier = queues.values().stream()
                .sorted(Comparator.comparingInt(
                        (ClassQueue queue) -> queue.serviceClass().tier()))
                .toList();
    }

    @Override
    public List<Refusal> offer(long nowMillis, QueuedRequest request) {
        ClassQueue queue = queues.get(request.className());
        if (queue == null) {
            return List.of(new Refusal(request.requestId(), ErrorCode.FORBIDDEN, SHORTEST_RETRY_MILLIS));
        }
        queue.add(request);
        if (queue.size() <= queue.serviceClass().queueLimit()) {
            return List.of();
        }
        QueuedRequest shed = queue.shed();
        return List.of(refuse(shed.requestId()));
    }

    @Override
    public Optional<QueuedRequest> next(long nowMillis, Predicate<QueuedRequest> canStart) {
        for (ClassQueue queue : byTier) {
            if (credit(queue) >= CREDIT_OF_START) {
                QueuedRequest owed = queue.next(canStart);
                if (owed != null) {
                    return Optional.of(started(nowMillis, owed));
                }
            }
        }
        for (ClassQueue queue : byTier) {
            QueuedRequest request = queue.next(canStart);
            if (request != null) {
                return Optional.of(started(nowMillis, request));
            }
        }
        return Optional.empty();
    }

    @Override
    public List<Refusal> expire(long nowMillis) {
        List<Refusal> refusals = new ArrayList<>();
        for (ClassQueue queue : byTier) {
            for (QueuedRequest request : queue.expire(nowMillis)) {
                refusals.add(refuse(request.requestId()));
            }
        }
        return refusals;
    }

    @Override
    public boolean remove(long requestId) {
        return byTier.stream().anyMatch(queue -> queue.remove(requestId));
    }

    @Override
    public void finished(QueuedRequest request, long actualTokens) {
        ClassQueue queue = queues.get(request.className());
        if (queue != null) {
            queue.correct(request, actualTokens);
        }
    }

    @Override
    public int waiting(String className) {
        ClassQueue queue = queues.get(className);
        return queue == null ? 0 : queue.size();
    }

    /**
     * Returns the credit of a class.
     *
     * @param queue The queue of the class.
     * @return The credit in starts.
     */
    private double credit(ClassQueue queue) {
        return credits.getOrDefault(queue.serviceClass().name(), 0.0);
    }

    /**
     * Accounts for a start.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request that starts.
     * @return The request.
     */
    private QueuedRequest started(long nowMillis, QueuedRequest request) {
        for (ClassQueue queue : byTier) {
            ServiceClass serviceClass = queue.serviceClass();
            boolean waits = queue.size() > 0 || serviceClass.name().equals(request.className());
            double earned = waits ? credit(queue) + serviceClass.guaranteedShare() : 0;
            credits.put(serviceClass.name(), Math.min(CREDIT_LIMIT, earned));
        }
        credits.merge(request.className(), -CREDIT_OF_START, (credit, cost) -> Math.max(0, credit + cost));
        if (lastStartMillis >= 0) {
            startIntervalMillis += SMOOTHING * (nowMillis - lastStartMillis - startIntervalMillis);
        }
        lastStartMillis = nowMillis;
        return request;
    }

    /**
     * Refuses a request with the time that the present queue needs to drain.
     *
     * @param requestId The identifier of the request.
     * @return The refusal.
     */
    private Refusal refuse(long requestId) {
        int waiting = byTier.stream().mapToInt(ClassQueue::size).sum();
        long drain = Math.round(waiting * startIntervalMillis);
        return new Refusal(requestId, ErrorCode.OVERLOADED, Math.max(SHORTEST_RETRY_MILLIS, drain));
    }
}
