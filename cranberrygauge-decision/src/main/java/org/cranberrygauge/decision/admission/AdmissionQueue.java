package org.cranberrygauge.decision.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The queue of one gateway.
 *
 * <p>Used by one thread at a time; the gateway serialises access without locks.
 */
public interface AdmissionQueue {

    /**
     * Replaces the classes, keeping what waits.
     *
     * @param classes The classes.
     */
    void configure(List<ServiceClass> classes);

    /**
     * Offers a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     * @return Refusals that follow at once, of this request or of one that gave way to it.
     */
    List<Refusal> offer(long nowMillis, QueuedRequest request);

    /**
     * Takes back a request that has run in part, whatever the forecast.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     * @return Refusals that follow at once, of this request or of one that gave way to it.
     */
    List<Refusal> resume(long nowMillis, QueuedRequest request);

    /**
     * Takes the request that starts next.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param canStart Tells whether a request could start now.
     * @return The start, or nothing if none that waits can start.
     */
    Optional<QueueStart> next(long nowMillis, Predicate<QueuedRequest> canStart);

    /**
     * Removes the requests that can no longer meet their deadline.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Their refusals.
     */
    List<Refusal> expire(long nowMillis);

    /**
     * Removes a request whose caller is gone.
     *
     * @param requestId The identifier of the request.
     * @return Whether it was waiting.
     */
    boolean remove(long requestId);

    /**
     * Corrects the account of a customer by the actual cost of a finished request.
     *
     * @param request The request as it was queued.
     * @param actualTokens The actual cost in tokens.
     */
    void finished(QueuedRequest request, long actualTokens);

    /**
     * Returns the number of waiting requests of a class.
     *
     * @param className The name of the class.
     * @return The number.
     */
    int waiting(String className);

    /**
     * Returns the work that waits for a target.
     *
     * @param target The model or service.
     * @return The work in tokens.
     */
    long waitingTokens(String target);

    /**
     * Finds the request for a target that would start next by tier.
     *
     * @param target The model or service.
     * @return The request, or null if none waits.
     */
    QueuedRequest first(String target);

    /**
     * A request that starts.
     *
     * @param request The request.
     * @param owed Whether it starts before higher tiers because its class is owed a start.
     */
    record QueueStart(QueuedRequest request, boolean owed) {}
}
