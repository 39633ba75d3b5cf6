package org.cranberrygauge.model.error;

import java.util.Locale;

/** The stable codes of errors and refusals, with the HTTP status that callers receive. */
public enum ErrorCode {
    /** The body is not valid JSON or lacks a field. */
    INVALID_REQUEST(400),
    /** A header, the body or the path is larger than allowed. */
    TOO_LARGE(413),
    /** The caller did not send its body in time. */
    REQUEST_TIMEOUT(408),
    /** The key is missing, unknown or withdrawn. */
    INVALID_KEY(401),
    /** The customer may not use this service class. */
    FORBIDDEN(403),
    /** There is no such model, route or path. */
    NOT_FOUND(404),
    /** The idempotency key was used before with a different body. */
    KEY_REUSED(409),
    /** The call with this idempotency key is still running. */
    IN_PROGRESS(409),
    /** The outcome of the call with this idempotency key is unknown, and the call is not run again. */
    OUTCOME_UNKNOWN(409),
    /** The call with this idempotency key was run, and its answer was too large to be stored. */
    ANSWER_NOT_KEPT(409),
    /** The route requires an idempotency key. */
    KEY_REQUIRED(400),
    /** The queue of the class is full, or the deadline cannot be met. */
    OVERLOADED(429),
    /** The request crashed backend servers and is quarantined. */
    QUARANTINED(422),
    /** No backend server can take the request. */
    NO_BACKEND(503),
    /** The gateway is draining, or its view of the configuration is not fresh. */
    NOT_ADMITTING(503),
    /** The append-only log does not respond. */
    LOG_UNAVAILABLE(503),
    BACKEND_FAILED(502),
    BACKEND_TIMEOUT(504),
    /** The key was withdrawn while the request was running. */
    KEY_WITHDRAWN(401),
    /** A setting is invalid or missing. */
    INVALID_SETTING(500),
    /** The configuration or the questionnaire is invalid. */
    INVALID_CONFIGURATION(400),
    /** The configuration was changed after the change was prepared. */
    CONFIGURATION_CONFLICT(409),
    /** The platform refused an operation or did not respond. */
    PLATFORM_UNAVAILABLE(503),
    /** An internal invariant is violated. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /** Returns the HTTP status that callers receive. */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the code as written in answers and logs.
     *
     * @return The code in lower case.
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
