package org.cranberrygauge.decision.admission;

/**
 * A request that waits for a start.
 *
 * @param target The model or service.
 * @param estimatedTokens The estimated cost in tokens, prompt and output.
 * @param arrivedAtMillis The monotonic time of arrival, in milliseconds.
 * @param deadlineMillis The monotonic time after which the request is refused, in milliseconds.
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

    /** Returns a copy with another deadline, for a request that is queued again after its backend server failed. */
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
     * Returns a copy for a further attempt, with a new arrival time and the same longest wait.
     *
     * @param remainingTokens The estimated cost of the remaining work in tokens.
     */
    public QueuedRequest forNextAttempt(long nowMillis, long remainingTokens) {
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
     * Returns the cost used for scheduling.
     *
     * @return The estimated cost in tokens, at least one.
     */
    public long cost() {
        return Math.max(1, estimatedTokens);
    }

    /** Returns a copy with another estimated cost. */
    public QueuedRequest withEstimatedTokens(long tokens) {
        return new QueuedRequest(
                requestId, customer, customerWeight, className, target, tokens, arrivedAtMillis, deadlineMillis);
    }
}
