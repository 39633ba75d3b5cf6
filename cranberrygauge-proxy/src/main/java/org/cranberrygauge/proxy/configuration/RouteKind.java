package org.cranberrygauge.proxy.configuration;

/** What the requests of a route are, and whether they may be retried. */
public enum RouteKind {
    /** A request that may run more than once. */
    IDEMPOTENT(false, true),
    /** A request that must run at most once. */
    AT_MOST_ONCE(false, false),
    /** A request with an event stream as its response that must run at most once. */
    STREAM(true, false),
    /** A request with an event stream as its response that another backend server can resume. */
    RESUMABLE_STREAM(true, true);

    private final boolean streams;

    private final boolean mayRetry;

    RouteKind(boolean streams, boolean mayRetry) {
        this.streams = streams;
        this.mayRetry = mayRetry;
    }

    /** Tells whether the response is an event stream. */
    public boolean streams() {
        return streams;
    }

    /** Tells whether the request may be sent again after it may have run. */
    public boolean mayRetry() {
        return mayRetry;
    }
}
