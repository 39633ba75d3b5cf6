package org.cranberrygauge.decision.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Serves requests in order of arrival, regardless of class and customer. A baseline for comparison.
 *
 * <p>Not thread-safe; callers serialize access.
 */
public final class FirstInFirstOutQueue implements AdmissionQueue {

    /** The retry delay that is sent to refused callers, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** The waiting requests in order of arrival. */
    private final CustomerQueues queues = new CustomerQueues.FirstInFirstOut();

    private final Map<Long, QueuedRequest> waiting = new HashMap<>();

    /** The number of requests that may wait, over all classes. */
    private int limit;

    @Override
    public void configure(List<ServiceClass> classes) {
        limit = classes.stream().mapToInt(ServiceClass::queueLimit).sum();
    }

    @Override
    public List<Refusal> offer(long nowMillis, QueuedRequest request) {
        if (waiting.size() >= limit) {
            return List.of(refusal(request));
        }
        queues.add(request);
        waiting.put(request.requestId(), request);
        return List.of();
    }

    @Override
    public List<Refusal> resume(long nowMillis, QueuedRequest request) {
        return offer(nowMillis, request);
    }

    @Override
    public Optional<QueueStart> next(long nowMillis, Predicate<QueuedRequest> canStart) {
        QueuedRequest request = queues.next(canStart);
        if (request != null) {
            waiting.remove(request.requestId());
        }
        return Optional.ofNullable(request).map(started -> new QueueStart(started, false));
    }

    @Override
    public List<Refusal> expire(long nowMillis) {
        List<Refusal> refusals = new ArrayList<>();
        for (QueuedRequest request : List.copyOf(waiting.values())) {
            if (request.deadlineMillis() <= nowMillis) {
                remove(request.requestId());
                refusals.add(refusal(request));
            }
        }
        return refusals;
    }

    @Override
    public boolean remove(long requestId) {
        QueuedRequest request = waiting.remove(requestId);
        return request != null && queues.remove(request);
    }

    @Override
    public void finished(QueuedRequest request, long actualTokens) {
        // The order of arrival does not depend on charges.
    }

    @Override
    public int waiting(String className) {
        return (int) waiting.values().stream()
                .filter(request -> request.className().equals(className))
                .count();
    }

    @Override
    public int waiting(String className, String target) {
        return (int) waiting.values().stream()
                .filter(request -> request.className().equals(className)
                        && request.target().equals(target))
                .count();
    }

    @Override
    public long waitingTokens(String target) {
        return queues.waitingTokens(target);
    }

    @Override
    public QueuedRequest first(String target) {
        return queues.first(target);
    }

    private static Refusal refusal(QueuedRequest request) {
        return new Refusal(request.requestId(), ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
}
