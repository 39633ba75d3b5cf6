package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.error.ErrorCode;

/**
 * The final answer to a request that gets no result.
 *
 * @param code The reason.
 * @param message The text for people.
 * @param notRun Whether it is certain that nothing was run.
 * @param retryAfterMillis The time after which a new try makes sense in milliseconds; 0 for none.
 */
public record RequestFailure(ErrorCode code, String message, boolean notRun, long retryAfterMillis) {

    /**
     * Builds the failure of a request that was not run.
     *
     * @param code The reason.
     * @param message The text for people.
     * @return The failure.
     */
    public static RequestFailure notRun(ErrorCode code, String message) {
        return new RequestFailure(code, message, true, 0);
    }

    /**
     * Builds the failure of a request that may have run.
     *
     * @param code The reason.
     * @param message The text for people.
     * @return The failure.
     */
    public static RequestFailure mayHaveRun(ErrorCode code, String message) {
        return new RequestFailure(code, message, false, 0);
    }

    /**
     * Sets the time after which a new try makes sense.
     *
     * @param millis The time in milliseconds.
     * @return The refined failure.
     */
    public RequestFailure withRetryAfter(long millis) {
        return new RequestFailure(code, message, notRun, millis);
    }

    /**
     * Sets whether it is certain that nothing was run.
     *
     * @param certain Whether it is.
     * @return The refined failure.
     */
    public RequestFailure withNotRun(boolean certain) {
        return new RequestFailure(code, message, certain, retryAfterMillis);
    }
}
