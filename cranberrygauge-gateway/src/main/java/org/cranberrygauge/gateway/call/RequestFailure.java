package org.cranberrygauge.gateway.call;

import org.cranberrygauge.model.error.ErrorCode;

/**
 * The final response to a request that failed.
 *
 * @param code The error code.
 * @param message The error message for humans.
 * @param notRun Whether the request is guaranteed not to have run, so that the caller may safely retry it.
 * @param retryAfterMillis The delay after which a retry is reasonable in milliseconds; 0 for none.
 */
public record RequestFailure(ErrorCode code, String message, boolean notRun, long retryAfterMillis) {

    /** Creates the failure of a request that is guaranteed not to have run. */
    public static RequestFailure notRun(ErrorCode code, String message) {
        return new RequestFailure(code, message, true, 0);
    }

    /** Creates the failure of a request that may have run. */
    public static RequestFailure mayHaveRun(ErrorCode code, String message) {
        return new RequestFailure(code, message, false, 0);
    }

    /** Returns a copy with another retry delay in milliseconds. */
    public RequestFailure withRetryAfter(long millis) {
        return new RequestFailure(code, message, notRun, millis);
    }

    /** Returns a copy with another "not run" flag. */
    public RequestFailure withNotRun(boolean certain) {
        return new RequestFailure(code, message, certain, retryAfterMillis);
    }
}
