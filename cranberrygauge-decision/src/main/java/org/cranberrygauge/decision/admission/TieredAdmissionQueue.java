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
 * <p>Invariants: all classes share one bound, and a full queue sheds from the lowest tier that waits, never a higher tier
 * for a lower one; a guaranteed share delays a higher tier and never sheds it; a request that can't start in time even if
 * its tier gets all capacity is refused at once. Used by one thread at a time.
 */
public final class TieredAdmissionQueue implements AdmissionQueue {

    /** The shortest time that a refused caller is told to wait in milliseconds. */
    private static final long SHORTEST_RETRY_MILLIS = 1_000;

    /** The longest time that a refused caller is told to wait in milliseconds. */
    private static final long LONGEST_RETRY_MILLIS = 60_000;

    /** The rules. */
    private final AdmissionPolicy policy;

    /** The queues by class. */
    private final Map<String, ClassQueue> queues = new HashMap<>();

    /** The waiting requests by identifier. */
    private final Map<Long, QueuedRequest> waiting = new HashMap<>();

    /** The rates by target. */
    private final Map<String, DrainRate> drainRates = new HashMap<>();

    /** The queues in the order of their tiers. */
    private List<ClassQueue> byTier = List.of();

    /** The number of requests that may wait, over all classes. */
    private int limit;

    /** Creates a queue with the rules that gateways use. */
    public TieredAdmissionQueue() {
        this(AdmissionPolicy.standard());
    }

    /**
     * Creates a queue.
     *
     * @param policy The rules.
     */
    public TieredAdmissionQueue(AdmissionPolicy policy) {
        this.policy = policy;
    }

    @Override
    public void configure(List<ServiceClass> classes) {
        for (ServiceClass serviceClass : classes) {
            queues.computeIfAbsent(
                            serviceClass.name(),
                            name -> new ClassQueue(serviceClass, policy.lines().get()))
                    .configure(serviceClass);
        }
        queues.values().removeIf(queue -> queue.lines().size() == 0 && !classes.contains(queue.serviceClass()));
        byTier = queues.values().stream()
                .sorted(Comparator.comparingInt(
                                (ClassQueue queue) -> queue.serviceClass().tier())
                        .thenComparing(queue -> queue.serviceClass().name()))
                .toList();
        limit = classes.stream().mapToInt(ServiceClass::queueLimit).sum();
    }

    @Override
    public List<Refusal> offer(long nowMillis, QueuedRequest request) {
        ClassQueue queue = queues.get(request.className());
        if (queue == null) {
            return List.of(new Refusal(request.requestId(), ErrorCode.FORBIDDEN, SHORTEST_RETRY_MILLIS));
        }
        drainRate(request.target()).observe(nowMillis, waitingTokens(request.target()));
        long waitMillis = forecastMillis(queue, request);
        long limitMillis = policy.waitLimit().limitMillis(queue.serviceClass());
        if (waitMillis > limitMillis) {
            return List.of(refusal(request, waitMillis - limitMillis));
        }
        return add(nowMillis, queue, request);
    }

    @Override
    public List<Refusal> resume(long nowMillis, QueuedRequest request) {
        ClassQueue queue = queues.get(request.className());
        if (queue == null) {
            return List.of(new Refusal(request.requestId(), ErrorCode.FORBIDDEN, SHORTEST_RETRY_MILLIS));
        }
        return add(nowMillis, queue, request);
    }

    @Override
    public Optional<QueueStart> next(long nowMillis, Predicate<QueuedRequest> canStart) {
        boolean higherInDanger = false;
        for (ClassQueue queue : byTier) {
            if (queue.lines().size() == 0) {
                continue;
            }
            dropLeft(queue);
            if (policy.shares().isOwed(queue.need(nowMillis), higherInDanger)) {
                QueuedRequest owed = queue.lines().next(canStart);
                if (owed != null) {
                    return Optional.of(new QueueStart(started(nowMillis, queue, owed), true));
                }
            }
            higherInDanger |= queue.isInDanger(nowMillis);
        }
        for (ClassQueue queue : byTier) {
            QueuedRequest request = queue.lines().next(canStart);
            if (request != null) {
                return Optional.of(new QueueStart(started(nowMillis, queue, request), false));
            }
        }
        return Optional.empty();
    }

    @Override
    public List<Refusal> expire(long nowMillis) {
        List<Refusal> refusals = new ArrayList<>();
        for (ClassQueue queue : byTier) {
            dropLeft(queue);
            while (!queue.deadlines().isEmpty() && queue.deadlines().peek().deadlineMillis() <= nowMillis) {
                QueuedRequest expired = queue.deadlines().remove();
                remove(expired.requestId());
                refusals.add(refuse(expired));
                dropLeft(queue);
            }
        }
        return refusals;
    }

    @Override
    public boolean remove(long requestId) {
        QueuedRequest request = waiting.remove(requestId);
        return request != null && queues.get(request.className()).lines().remove(request);
    }

    @Override
    public void finished(QueuedRequest request, long actualTokens) {
        ClassQueue queue = queues.get(request.className());
        if (queue != null) {
            queue.lines().correct(request, actualTokens);
        }
    }

    @Override
    public int waiting(String className) {
        ClassQueue queue = queues.get(className);
        return queue == null ? 0 : queue.lines().size();
    }

    @Override
    public long waitingTokens(String target) {
        long tokens = 0;
        for (ClassQueue queue : byTier) {
            tokens += queue.lines().waitingTokens(target);
        }
        return tokens;
    }

    @Override
    public QueuedRequest first(String target) {
        for (ClassQueue queue : byTier) {
            QueuedRequest first = queue.lines().first(target);
            if (first != null) {
                return first;
            }
        }
        return null;
    }

    /**
     * Adds a request, and sheds one of the lowest tier if the queue is full.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param queue The queue of its class.
     * @param request The request.
     * @return The refusal of the request that was shed.
     */
    private List<Refusal> add(long nowMillis, ClassQueue queue, QueuedRequest request) {
        queue.add(nowMillis, request);
        waiting.put(request.requestId(), request);
        if (waiting.size() <= limit) {
            return List.of();
        }
        QueuedRequest shed = lowestTier().lines().shedFirst();
        remove(shed.requestId());
        return List.of(refuse(shed));
    }

    /**
     * Drops the requests that left the queue from the front of its deadlines.
     *
     * @param queue The queue.
     */
    private void dropLeft(ClassQueue queue) {
        while (!queue.deadlines().isEmpty()) {
            QueuedRequest first = queue.deadlines().peek();
            if (waiting.get(first.requestId()) == first) {
                return;
            }
            queue.deadlines().remove();
        }
    }

    /**
     * Accounts for a start.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param started The queue of the request.
     * @param request The request that starts.
     * @return The request.
     */
    private QueuedRequest started(long nowMillis, ClassQueue started, QueuedRequest request) {
        waiting.remove(request.requestId());
        for (ClassQueue queue : byTier) {
            if (queue == started || queue.lines().waitingTokens(request.target()) > 0) {
                queue.earn();
            }
        }
        started.started(nowMillis);
        DrainRate rate = drainRate(request.target());
        rate.started(request.estimatedTokens());
        rate.observe(nowMillis, waitingTokens(request.target()));
        return request;
    }

    /**
     * Forecasts the wait of a new request if its tier and those above get all capacity.
     *
     * @param queue The queue of its class.
     * @param request The request.
     * @return The wait in milliseconds.
     */
    private long forecastMillis(ClassQueue queue, QueuedRequest request) {
        long ahead = queue.lines().tokensAhead(request);
        for (ClassQueue other : byTier) {
            if (other != queue
                    && other.serviceClass().tier() <= queue.serviceClass().tier()) {
                ahead += other.lines().waitingTokens(request.target());
            }
        }
        return drainRate(request.target()).drainMillis(ahead);
    }

    /**
     * Finds the queue of the lowest tier that waits.
     *
     * @return The queue.
     */
    private ClassQueue lowestTier() {
        ClassQueue lowest = byTier.get(0);
        for (ClassQueue queue : byTier) {
            if (queue.lines().size() > 0) {
                lowest = queue;
            }
        }
        return lowest;
    }

    /**
     * Returns the rate of a target.
     *
     * @param target The model or service.
     * @return The rate.
     */
    private DrainRate drainRate(String target) {
        return drainRates.computeIfAbsent(target, name -> new DrainRate());
    }

    /**
     * Refuses a request with the time that the present queue needs to drain.
     *
     * @param request The request.
     * @return The refusal.
     */
    private Refusal refuse(QueuedRequest request) {
        return refusal(request, drainRate(request.target()).drainMillis(waitingTokens(request.target())));
    }

    /**
     * Builds a refusal.
     *
     * @param request The request.
     * @param retryAfterMillis The time after which a new try makes sense in milliseconds.
     * @return The refusal.
     */
    private static Refusal refusal(QueuedRequest request, long retryAfterMillis) {
        long bounded = Math.min(LONGEST_RETRY_MILLIS, Math.max(SHORTEST_RETRY_MILLIS, retryAfterMillis));
        return new Refusal(request.requestId(), ErrorCode.OVERLOADED, bounded);
    }
}
