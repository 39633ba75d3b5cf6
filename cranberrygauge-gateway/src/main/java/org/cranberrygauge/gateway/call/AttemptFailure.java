package org.cranberrygauge.gateway.call;

import java.util.concurrent.TimeoutException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * How an attempt at a backend server failed.
 *
 * @param kind The kind of failure.
 * @param reason The reason for people.
 */
record AttemptFailure(Kind kind, String reason) {

    /**
     * Builds the failure of an exchange that broke.
     *
     * @param cause The cause.
     * @param reason The reason for people.
     * @return The failure.
     */
    static AttemptFailure broken(Throwable cause, String reason) {
        return cause instanceof TimeoutException
                ? new AttemptFailure(Kind.TIMEOUT, "no byte in time")
                : new AttemptFailure(Kind.CONNECTION_LOST, reason);
    }

    /**
     * Returns the code that the caller sees if the failure is final.
     *
     * @return The code.
     */
    ErrorCode code() {
        return switch (kind) {
            case TIMEOUT -> ErrorCode.BACKEND_TIMEOUT;
            case REJECTED -> ErrorCode.INVALID_REQUEST;
            default -> ErrorCode.BACKEND_FAILED;
        };
    }

    /** The kinds of failures. */
    enum Kind {
        /** No connection was opened, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection was lost while the request ran, as when the backend server crashes. */
        CONNECTION_LOST,
        /** No byte came in time. */
        TIMEOUT,
        /** The answer was no answer to this attempt, or none at all. */
        INVALID_ANSWER,
        /** The backend server found fault with the request itself. */
        REJECTED
    }
}
