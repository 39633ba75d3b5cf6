package org.cranberrygauge.proxy.retry;

/** How one attempt at a backend server ended. */
public enum AttemptOutcome {
    /** No connection came about, so that nothing was sent. */
    NOT_CONNECTED,
    /** The backend server said that it did not run the request. */
    NOT_RUN,
    /** The connection broke, or the answer can't be used, before anything was passed on; the request may have run. */
    BROKEN,
    /** The backend server answered that it failed. */
    SERVER_ERROR,
    /** The stream broke after events were passed on. */
    STREAM_BROKEN
}
