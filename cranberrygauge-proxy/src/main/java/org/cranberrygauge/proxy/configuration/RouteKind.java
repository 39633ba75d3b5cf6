package org.cranberrygauge.proxy.configuration;

/** What a request on a route is and whether it may be repeated. */
public enum RouteKind {
    /** A request that may run more than once. */
    IDEMPOTENT(false, true),
    /** A request that must run at most once. */
    AT_MOST_ONCE(false, false),
    /** A stream of events that must run at most once. */
    STREAM(true, false),
    /** A stream of events that another backend server can resume. */
    RESUMABLE_STREAM(true, true);

    /** Whether the answer is a stream of events. */
    private final boolean streams;

    /** Whether the request may run again. */
    private final boolean mayRetry;

    /**
     * Creates a kind.
     *
     * @param streams Whether the answer is a stream of events.
     * @param mayRetry Whether the request may run again.
     */
    RouteKind(boolean streams, boolean mayRetry) {
        this.streams = streams;
        this.mayRetry = mayRetry;
    }

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return Whether the answer is a stream.
     */
    public boolean streams() {
        return streams;
    }

    /**
     * Tells whether the request may run again after it may have run.
     *
     * @return Whether it may be repeated.
     */
    public boolean mayRetry() {
        return mayRetry;
    }
}
