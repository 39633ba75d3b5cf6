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
 * Serves higher tiers first while giving each class at least its guaranteed share of starts.
 *
 * <p>Invariants: all classes share one bound on the queue length, and a full queue sheds from the lowest waiting tier,
 * never a higher tier in favour of a lower one; a guaranteed share delays a higher tier but never sheds its requests; a
 * request that could not start in time even if its tier got all capacity is refused at once. Not thread-safe; callers
 * serialize access.
 */
public final class TieredAdmissionQueue implements AdmissionQueue {

    /** The shortest retry delay that is sent to refused callers, in milliseconds. */
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;

    /** The longest retry delay that is sent to refused callers, in milliseconds. */
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 60_000;

    private final AdmissionPolicy policy;

    private final Map<String, ClassQueue> queues = new HashMap<>();

    private final Map<Long, QueuedRequest> waiting = new HashMap<>();

    /** The drain rates by target. */
    private final Map<String, DrainRate> drainRates = new HashMap<>();

    /** The class queues, highest tier first. */
    private List<ClassQueue> byTier = List.of();

    /** The number of requests that may wait, over all classes. */
    private int limit;

    /** Creates a queue with the policies used by gateways. */
    public TieredAdmissionQueue() {
        this(AdmissionPolicy.standard());
    }

    /** Creates a queue with the given policies. */
    public TieredAdmissionQueue(AdmissionPolicy policy) {
        this.policy = policy;
    }

    @Override
    public void configure(List<ServiceClass> classes) {
        for (ServiceClass serviceClass : classes) {
            queues.computeIfAbsent(
                            serviceClass.name(),
                            name -> new ClassQueue(
                                    serviceClass, policy.customerQueues().get()))
                    .configure(serviceClass);
        }
        queues.values()
                .removeIf(queue -> queue.customerQueues().size() == 0 && !classes.contains(queue.serviceClass()));
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
            return List.of(new Refusal(request.requestId(), ErrorCode.FORBIDDEN, MINIMUM_RETRY_AFTER_MILLIS));
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
            return List.of(new Refusal(request.requestId(), ErrorCode.FORBIDDEN, MINIMUM_RETRY_AFTER_MILLIS));
        }
        return add(nowMillis, queue, request);
    }

    @Override
    public Optional<QueueStart> next(long nowMillis, Predicate<QueuedRequest> canStart) {
        boolean higherTierNearDeadline = false;
        for (ClassQueue queue : byTier) {
            if (queue.customerQueues().size() == 0) {
                continue;
            }
            removeStaleDeadlines(queue);
            if (policy.shares().isEntitled(queue.claim(nowMillis), higherTierNearDeadline)) {
                QueuedRequest guaranteed = queue.customerQueues().next(canStart);
                if (guaranteed != null) {
                    return Optional.of(new QueueStart(started(nowMillis, queue, guaranteed), true));
                }
            }
            higherTierNearDeadline |= queue.isNearDeadline(nowMillis);
        }
        for (ClassQueue queue : byTier) {
            QueuedRequest request = queue.customerQueues().next(canStart);
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
            removeStaleDeadlines(queue);
            while (!queue.deadlines().isEmpty() && queue.deadlines().peek().deadlineMillis() <= nowMillis) {
                QueuedRequest expired = queue.deadlines().remove();
                remove(expired.requestId());
                refusals.add(refuse(expired));
                removeStaleDeadlines(queue);
            }
        }
        return refusals;
    }

    @Override
    public boolean remove(long requestId) {
        QueuedRequest request = waiting.remove(requestId);
        return request != null
                && queues.get(request.className()).customerQueues().remove(request);
    }

    @Override
    public void finished(QueuedRequest request, long actualTokens) {
        ClassQueue queue = queues.get(request.className());
        if (queue != null) {
            queue.customerQueues().correctCharge(request, actualTokens);
        }
    }

    @Override
    public int waiting(String className) {
        ClassQueue queue = queues.get(className);
        return queue == null ? 0 : queue.customerQueues().size();
    }

    @Override
    public int waiting(String className, String target) {
        ClassQueue queue = queues.get(className);
        return queue == null ? 0 : queue.customerQueues().waiting(target);
    }

    @Override
    public long waitingTokens(String target) {
        long tokens = 0;
        for (ClassQueue queue : byTier) {
            tokens += queue.customerQueues().waitingTokens(target);
        }
        return tokens;
    }

    @Override
    public QueuedRequest first(String target) {
        for (ClassQueue queue : byTier) {
            QueuedRequest first = queue.customerQueues().first(target);
            if (first != null) {
                return first;
            }
        }
        return null;
    }

    /**
     * Adds a request and, if the queue is then full, sheds one of the lowest tier.
     *
     * @return The refusal of the shed request.
     */
    private List<Refusal> add(long nowMillis, ClassQueue queue, QueuedRequest request) {
        queue.add(nowMillis, request);
        waiting.put(request.requestId(), request);
        if (waiting.size() <= limit) {
            return List.of();
        }
        QueuedRequest shed = lowestTier().customerQueues().shedCandidate();
        remove(shed.requestId());
        return List.of(refuse(shed));
    }

    /** Removes stale entries from the head of a queue's deadlines. */
    private void removeStaleDeadlines(ClassQueue queue) {
        while (!queue.deadlines().isEmpty()) {
            QueuedRequest first = queue.deadlines().peek();
            if (waiting.get(first.requestId()) == first) {
                return;
            }
            queue.deadlines().remove();
        }
    }

    /** Removes a started request and updates credits and the drain rate. */
    private QueuedRequest started(long nowMillis, ClassQueue started, QueuedRequest request) {
        waiting.remove(request.requestId());
        for (ClassQueue queue : byTier) {
            if (queue == started || queue.customerQueues().waitingTokens(request.target()) > 0) {
                queue.accrueCredit();
            }
        }
        started.started(nowMillis);
        DrainRate rate = drainRate(request.target());
        rate.started(request.estimatedTokens());
        rate.observe(nowMillis, waitingTokens(request.target()));
        return request;
    }

    /**
     * Predicts the wait of a new request, assuming that its tier and those above get all capacity.
     *
     * @return The wait in milliseconds.
     */
    private long forecastMillis(ClassQueue queue, QueuedRequest request) {
        long ahead = queue.customerQueues().tokensAhead(request);
        for (ClassQueue other : byTier) {
            if (other != queue
                    && other.serviceClass().tier() <= queue.serviceClass().tier()) {
                ahead += other.customerQueues().waitingTokens(request.target());
            }
        }
        return drainRate(request.target()).drainMillis(ahead);
    }

    /** Returns the queue of the lowest tier with waiting requests. */
    private ClassQueue lowestTier() {
        ClassQueue lowest = byTier.get(0);
        for (ClassQueue queue : byTier) {
            if (queue.customerQueues().size() > 0) {
                lowest = queue;
            }
        }
        return lowest;
    }

    private DrainRate drainRate(String target) {
        return drainRates.computeIfAbsent(target, name -> new DrainRate());
    }

    /** Refuses a request and tells its caller to retry once the current queue has drained. */
    private Refusal refuse(QueuedRequest request) {
        return refusal(request, drainRate(request.target()).drainMillis(waitingTokens(request.target())));
    }

    private static Refusal refusal(QueuedRequest request, long retryAfterMillis) {
        long bounded = Math.min(MAXIMUM_RETRY_AFTER_MILLIS, Math.max(MINIMUM_RETRY_AFTER_MILLIS, retryAfterMillis));
        return new Refusal(request.requestId(), ErrorCode.OVERLOADED, bounded);
    }
}
