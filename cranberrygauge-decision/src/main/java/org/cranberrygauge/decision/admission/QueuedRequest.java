package org.cranberrygauge.decision.admission;

/**
 * A request that waits for a start.
 *
 * @param requestId The identifier of the request.
 * @param customer The name of the customer.
 * @param customerWeight The weight of the customer.
 * @param className The name of the class.
 * @param target The model or service.
 * @param estimatedTokens The estimated cost in tokens, prompt and output.
 * @param arrivedAtMillis The monotonic time of its arrival.
 * @param deadlineMillis The monotonic time after which it is refused.
 */
public record QueuedRequest(
        long requestId,
        String customer,
        int customerWeight,
        String className,
        String target,
        long estimatedTokens,
        long arrivedAtMillis,
        long deadlineMillis) {

    /**
     * Replaces the deadline, for a request that waits again after its backend server failed.
     *
     * @param replacementMillis The monotonic time after which it is refused.
     * @return The refined request.
     */
    public QueuedRequest withDeadline(long replacementMillis) {
        return new QueuedRequest(
                requestId,
                customer,
                customerWeight,
                className,
                target,
                estimatedTokens,
                arrivedAtMillis,
                replacementMillis);
    }

    /**
     * Refines the request for a further attempt, whose wait counts from now.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param remainingTokens The estimated cost of what is left in tokens.
     * @return The refined request.
     */
    public QueuedRequest again(long nowMillis, long remainingTokens) {
        long longestWaitMillis = deadlineMillis - arrivedAtMillis;
        return new QueuedRequest(
                requestId,
                customer,
                customerWeight,
                className,
                target,
                remainingTokens,
                nowMillis,
                nowMillis + longestWaitMillis);
    }

    /**
     * Replaces the estimated cost.
     *
     * @param tokens The cost in tokens.
     * @return The refined request.
     */
    public QueuedRequest withEstimatedTokens(long tokens) {
        return new QueuedRequest(
                requestId, customer, customerWeight, className, target, tokens, arrivedAtMillis, deadlineMillis);
    }
}
