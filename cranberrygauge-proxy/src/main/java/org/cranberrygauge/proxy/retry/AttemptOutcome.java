package org.cranberrygauge.proxy.retry;

/** How one attempt at a backend server failed. */
public enum AttemptOutcome {
    /** No connection was established, so that nothing was sent. */
    NOT_CONNECTED,
    /** The backend server stated that it did not run the request. */
    NOT_RUN,
    /** The connection broke or the response was unusable before anything was forwarded; the request may have run. */
    BROKEN,
    /** The backend server responded with a server error. */
    SERVER_ERROR,
    /** The stream broke after events had been forwarded. */
    STREAM_BROKEN,
    /** Only the end of its connection ended the stream, which may be complete or broken. */
    END_UNKNOWN
}
