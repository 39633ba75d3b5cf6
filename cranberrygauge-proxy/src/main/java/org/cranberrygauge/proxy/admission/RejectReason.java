package org.cranberrygauge.proxy.admission;

import java.util.OptionalLong;

/** Why a request gets an answer of the proxy's own, with the status of that answer. */
public enum RejectReason {
    /** No configuration is known yet. */
    NO_CONFIGURATION(503, 500),
    /** The configuration may be older than the bound allows. */
    STALE_CONFIGURATION(503, 500),
    /** No route matches. */
    UNKNOWN_ROUTE(404, 0),
    /** The route needs a key and the request has none. */
    NO_KEY(401, 0),
    /** No customer holds the key. */
    UNKNOWN_KEY(401, 0),
    /** The request's framing is ambiguous or its head is incomplete. */
    BAD_REQUEST(400, 0),
    /** The body is over the limit. */
    BODY_TOO_LONG(413, 0),
    /** The host is about to stop, and another one takes the request. */
    DRAINING(503, 50),
    /** No backend server of the pool takes new work. */
    NO_BACKEND(503, 500),
    /** Every backend server that was asked said that it is full. */
    BACKENDS_FULL(503, 800),
    /** The request has crashed several backend servers. */
    CRASHES_BACKENDS(503, 30_000),
    /** The time for the request is over and it has not run. */
    EXPIRED(503, 0),
    /** The time for the request is over and it may have run. */
    TIMED_OUT(504, 0),
    /** A backend server's connection or answer broke and the request may have run. */
    BACKEND_BROKE(502, 0);

    /** The status of the answer. */
    private final int status;

    /** The time after which the caller may come back, in milliseconds; 0 if none is told. */
    private final long retryAfterMillis;

    /**
     * Creates a reason.
     *
     * @param status The status of the answer.
     * @param retryAfterMillis The time after which the caller may come back, in milliseconds; 0 if none is told.
     */
    RejectReason(int status, long retryAfterMillis) {
        this.status = status;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Returns the status of the answer.
     *
     * @return The status.
     */
    public int status() {
        return status;
    }

    /**
     * Returns the time after which the caller may come back.
     *
     * @return The time in milliseconds, or nothing if none is told.
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis == 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }
}
