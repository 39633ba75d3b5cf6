package org.cranberrygauge.gateway.http;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Closes the connections of callers that have sent no request for some time.
 *
 * <p>Invariants: a connection with a request that waits or runs is never closed here, however long it takes; a caller that
 * never completes the header of a request is. Safe for use by several threads.
 */
public final class IdleConnections {

    /** The sources of time. */
    private final TimeSource time;

    /** The time without a request after which a connection is closed in milliseconds. */
    private final long limitMillis;

    /** The activity of each connection. */
    private final Map<HttpConnection, Activity> connections = new ConcurrentHashMap<>();

    /**
     * Creates an empty set.
     *
     * @param time The sources of time.
     * @param limitMillis The time without a request after which a connection is closed in milliseconds.
     */
    public IdleConnections(TimeSource time, long limitMillis) {
        this.time = time;
        this.limitMillis = limitMillis;
    }

    /**
     * Adds a new connection.
     *
     * @param connection The connection.
     */
    public void opened(HttpConnection connection) {
        connections.put(connection, new Activity(0, time.monotonicMillis()));
        connection.closeHandler(closed -> connections.remove(connection));
    }

    /**
     * Notes a request, until its answer is sent or its connection is closed.
     *
     * @param request The request.
     */
    void began(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        change(connection, 1);
        request.response().endHandler(ended -> change(connection, -1));
    }

    /** Closes the connections that are idle for too long. */
    public void closeIdle() {
        long beforeMillis = time.monotonicMillis() - limitMillis;
        connections.forEach((connection, activity) -> {
            if (activity.requests() == 0 && activity.changedAtMillis() <= beforeMillis) {
                connection.close();
            }
        });
    }

    /**
     * Changes the number of requests of a connection.
     *
     * @param connection The connection.
     * @param difference The difference.
     */
    private void change(HttpConnection connection, int difference) {
        connections.computeIfPresent(
                connection, (key, before) -> new Activity(before.requests() + difference, time.monotonicMillis()));
    }

    /**
     * What happens on a connection.
     *
     * @param requests The number of requests that wait or run.
     * @param changedAtMillis The monotonic time of the last change in milliseconds.
     */
    private record Activity(int requests, long changedAtMillis) {}
}
