package org.cranberrygauge.gateway.call;

import java.util.concurrent.TimeoutException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.http.ResponseBody;

/**
 * How an attempt on a backend server failed.
 *
 * @param kind What failed, which decides whether the request may be retried.
 * @param reason A short description for logs and error messages.
 */
record AttemptFailure(Kind kind, String reason) {

    /** A response that exceeds what the gateway collects. */
    static final AttemptFailure TOO_LONG = new AttemptFailure(Kind.INVALID_ANSWER, "response too long");

    /**
     * Classifies an exchange that ended with an exception: a timeout, a response that is too long, or a lost connection with
     * the given reason.
     */
    static AttemptFailure broken(Throwable cause, String reason) {
        if (cause instanceof ResponseBody.TooLongException) {
            return TOO_LONG;
        }
        return cause instanceof TimeoutException
                ? new AttemptFailure(Kind.TIMEOUT, "no byte received within the timeout")
                : new AttemptFailure(Kind.CONNECTION_LOST, reason);
    }

    /** Returns the error code sent to the caller if this failure is final. */
    ErrorCode code() {
        return switch (kind) {
            case TIMEOUT -> ErrorCode.BACKEND_TIMEOUT;
            case REJECTED -> ErrorCode.INVALID_REQUEST;
            default -> ErrorCode.BACKEND_FAILED;
        };
    }

    /** The kinds of failures. */
    enum Kind {
        /** No connection was established, so nothing was sent. */
        NOT_CONNECTED,
        /** The connection was lost while the request was running, for example because the backend server crashed. */
        CONNECTION_LOST,
        /** No byte arrived within the timeout. */
        TIMEOUT,
        /** The response was malformed, incomplete or belonged to another attempt. */
        INVALID_ANSWER,
        /** The backend server rejected the request itself, so that a retry would fail too. */
        REJECTED
    }
}
