package org.cranberrygauge.proxy.admission;

import java.util.OptionalLong;

/**
 * Why the proxy rejects a request itself instead of forwarding a backend server's response, with the HTTP status and
 * the Retry-After value of the rejection.
 */
public enum RejectReason {
    /** No configuration has been read yet. */
    NO_CONFIGURATION(503, 500),
    /** The last confirmation of the configuration is older than the bound allows. */
    STALE_CONFIGURATION(503, 500),
    /** No route matches the host and path. */
    UNKNOWN_ROUTE(404, 0),
    /** The route requires a key and the request has none. */
    NO_KEY(401, 0),
    /** No customer owns the key. */
    UNKNOWN_KEY(401, 0),
    /** The route and the customer name regions and have none in common, so that no server may run the request. */
    NO_COMMON_HOME(503, 30_000),
    /** The message framing is ambiguous or a required header is missing. */
    BAD_REQUEST(400, 0),
    /** The body exceeds the configured limit. */
    BODY_TOO_LONG(413, 0),
    /** The bytes that this host holds for all requests have reached their limit; other hosts may have memory left. */
    MEMORY_EXHAUSTED(503, 200),
    /** The host is shutting down; another host can serve the request. */
    DRAINING(503, 50),
    /** The host is overloaded; another host can serve the request. */
    HOST_OVERLOADED(503, 50),
    /** The host has as many requests in progress as its file descriptors allow; another host can serve the request. */
    HOST_FULL(503, 50),
    /** No backend server of the pool accepts new requests. */
    NO_BACKEND(503, 500),
    /** All backend servers that were tried reported that they are at capacity. */
    BACKENDS_FULL(503, 800),
    /** All backend servers of the pool state a limit that other requests have used up. */
    BACKENDS_LIMITED(503, 1_000),
    /** All backend servers of the pool have asked this host for a pause; the rejection tells when the first one ends. */
    BACKENDS_PAUSED(503, 1_000),
    /** The caller resumes a stream, and no backend server of the version that began it accepts requests. */
    NO_BACKEND_OF_VERSION(503, 500),
    /** The caller resumes a stream, and no host knows at which version it began. */
    UNKNOWN_STREAM(503, 0),
    /** The request, or a part of its prompt, has crashed several backend servers. */
    CRASHES_BACKENDS(503, 30_000),
    /** The deadline passed and the request has certainly not run. */
    EXPIRED(503, 0),
    /** The deadline passed and the request may have run. */
    TIMED_OUT(504, 0),
    /** The host stopped before a response came, and the request may have run. */
    HOST_STOPPED(502, 0),
    /** The connection to a backend server broke or its response was unusable, and the request may have run. */
    BACKEND_BROKE(502, 0),
    /**
     * The response of a backend server would promise that the request has not run, which its server has not stated. The request
     * may have run.
     */
    BACKEND_REJECTED_LATE(502, 0);

    private static final int BAD_GATEWAY = 502;

    private static final int GATEWAY_TIMEOUT = 504;

    private final int status;

    private final long retryAfterMillis;

    RejectReason(int status, long retryAfterMillis) {
        this.status = status;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Tells whether a rejection for this reason states that the request has not run and never will. */
    public boolean isNotRun() {
        return status != BAD_GATEWAY && status != GATEWAY_TIMEOUT;
    }

    public int status() {
        return status;
    }

    /**
     * Returns how long the caller should wait before a retry, in milliseconds, or empty if the rejection carries no
     * Retry-After header.
     */
    public OptionalLong retryAfterMillis() {
        return retryAfterMillis == 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMillis);
    }
}
