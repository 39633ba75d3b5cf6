package org.cranberrygauge.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The queue of requests that wait for a backend server at one gateway.
 *
 * <p>Not thread-safe; the gateway serializes access without locks. Times are monotonic, in milliseconds.
 */
public interface AdmissionQueue {

    /** Replaces the service classes. Waiting requests are kept. */
    void configure(List<ServiceClass> classes);

    /**
     * Admits a request to the queue, or rejects it if it cannot start in time.
     *
     * @return The refusals that result at once, of this request or of one that was shed for it.
     */
    List<Refusal> offer(long nowMillis, QueuedRequest request);

    /**
     * Returns a partly executed request to the queue, regardless of its predicted wait.
     *
     * @return The refusals that result at once, of this request or of one that was shed for it.
     */
    List<Refusal> resume(long nowMillis, QueuedRequest request);

    /**
     * Dequeues the request to start next.
     *
     * @param canStart Returns whether a request could start now.
     * @return The request to start, or empty if none of the waiting requests can start.
     */
    Optional<QueueStart> next(long nowMillis, Predicate<QueuedRequest> canStart);

    /**
     * Removes the requests whose deadline has passed.
     *
     * @return The refusals of the removed requests.
     */
    List<Refusal> expire(long nowMillis);

    /**
     * Removes a request whose caller has disconnected.
     *
     * @return {@code true} if the request was waiting.
     */
    boolean remove(long requestId);

    /**
     * Corrects the charge of a customer once the actual cost of a request is known.
     *
     * @param actualTokens The actual cost in tokens.
     */
    void finished(QueuedRequest request, long actualTokens);

    /** Returns the number of waiting requests of a class. */
    int waiting(String className);

    /** Returns the number of requests of a class that wait for a target. */
    int waiting(String className, String target);

    /**
     * Returns the work that waits for a target.
     *
     * @return The work in tokens.
     */
    long waitingTokens(String target);

    /**
     * Returns the request for a target that is first in line by tier.
     *
     * @return The request, or {@code null} if none is waiting.
     */
    QueuedRequest first(String target);

    /**
     * A request to start.
     *
     * @param guaranteed Whether the request starts ahead of higher tiers by the guaranteed share of its class.
     */
    record QueueStart(QueuedRequest request, boolean guaranteed) {}
}
