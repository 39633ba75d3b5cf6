package org.cranberrygauge.gateway.http;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.runtime.http.ConnectionChannel;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Closes the connections of callers that have not sent a request for some time.
 *
 * <p>Invariants: a connection with a queued or running request is never closed, however long that takes; a connection
 * on which the header of a request is never completed is closed. Safe for use by several threads.
 */
public final class IdleConnections {

    private final TimeSource time;

    /** The time without a request after which a connection is closed in milliseconds. */
    private final long idleTimeoutMillis;

    private final Map<HttpConnection, Activity> connections = new ConcurrentHashMap<>();

    /**
     * Creates a registry without connections.
     *
     * @param idleTimeoutMillis The time without a request after which a connection is closed in milliseconds.
     */
    public IdleConnections(TimeSource time, long idleTimeoutMillis) {
        this.time = time;
        this.idleTimeoutMillis = idleTimeoutMillis;
    }

    /** Registers a new connection. */
    public void opened(HttpConnection connection) {
        connections.put(connection, new Activity(0, time.monotonicMillis()));
        connection.closeHandler(closed -> connections.remove(connection));
    }

    /** Marks a connection as busy until the response to a request is sent or the connection is closed. */
    void requestStarted(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        adjustRequests(connection, 1);
        request.response().endHandler(ended -> adjustRequests(connection, -1));
    }

    /** Closes the connections that have been idle for too long. */
    public void closeIdle() {
        long idleSinceMillis = time.monotonicMillis() - idleTimeoutMillis;
        connections.forEach((connection, activity) -> {
            if (activity.requests() == 0 && activity.changedAtMillis() <= idleSinceMillis) {
                connection.close();
            }
        });
    }

    /** Handles what callers have sent by now, and closes all connections. */
    public void closeAll() {
        connections.keySet().forEach(ConnectionChannel::closeInOrder);
    }

    private void adjustRequests(HttpConnection connection, int difference) {
        connections.computeIfPresent(
                connection, (key, before) -> new Activity(before.requests() + difference, time.monotonicMillis()));
    }

    /**
     * The state of a connection.
     *
     * @param requests The number of queued or running requests.
     * @param changedAtMillis The monotonic time of the last change in milliseconds.
     */
    private record Activity(int requests, long changedAtMillis) {}
}
