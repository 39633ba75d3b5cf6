package org.cranberrygauge.runtime.http;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.cranberrygauge.decision.connection.CloseReason;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.decision.connection.ConnectionTable;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The connections of one HTTP server, of which it closes those that are kept open without use, and the one that has waited
 * longest for a request when there are too many.
 *
 * <p>Invariants: a connection with a request in progress is not closed, however long that takes; what a peer has sent by then
 * is read before its connection is closed; a peer that has stopped reading doesn't keep its connection open. Used on the event
 * loop of the server, except for the methods that state otherwise.
 */
public final class AcceptedConnections {

    private final String listener;

    private final TimeSource time;

    /** The limits in force, asked for anew each time. */
    private final Supplier<ConnectionLimits> limits;

    private final ConnectionMetrics metrics;

    private final EventLog events;

    private final ConnectionTable<HttpConnection> table = new ConnectionTable<>();

    /** Whether so many connections are open that callers are asked to close theirs; written by the event loop of the server. */
    private volatile boolean crowded;

    /** @param listener The name of the server in events and metrics. */
    public AcceptedConnections(
            String listener,
            TimeSource time,
            Supplier<ConnectionLimits> limits,
            ConnectionMetrics metrics,
            EventLog events) {
        this.listener = listener;
        this.time = time;
        this.limits = limits;
        this.metrics = metrics;
        this.events = events;
    }

    /**
     * Installs the handlers of a server that does not listen yet.
     *
     * @param options The options of the server.
     * @param opened Handles each connection that has just been opened, before its first request.
     * @param handler Handles requests.
     * @param invalid Handles requests that can't be decoded.
     */
    public void serve(
            HttpServer server,
            HttpServerOptions options,
            Handler<HttpConnection> opened,
            Handler<HttpServerRequest> handler,
            Handler<HttpServerRequest> invalid) {
        server.connectionHandler(connection -> {
                    opened.handle(connection);
                    open(connection, options);
                })
                .requestHandler(request -> begin(request, handler))
                .invalidRequestHandler(request -> begin(request, invalid));
    }

    /** Closes the connections whose time is over. Its cost does not depend on the number of those that stay. */
    public void closeOverdue() {
        long nowMillis = time.monotonicMillis();
        ConnectionLimits current = limits.get();
        Optional<HttpConnection> next = table.overdue(nowMillis, current);
        while (next.isPresent()) {
            HttpConnection connection = next.get();
            ConnectionChannel.readPending(connection);
            table.examine(connection, nowMillis, current, ConnectionChannel.unwrittenBytes(connection))
                    .ifPresent(reason -> close(connection, reason));
            next = table.overdue(nowMillis, current);
        }
    }

    /** Reads what peers have sent by now, and closes all connections after what is queued for them. */
    public void closeAll() {
        List.copyOf(table.all()).forEach(ConnectionChannel::readPending);
        List.copyOf(table.all()).forEach(HttpConnection::close);
    }

    /** Tells whether callers should close their connections after a response. May be called on any thread. */
    public boolean isCrowded() {
        return crowded;
    }

    /** Returns the number of connections that are open and not being closed. */
    long openConnections() {
        return table.size();
    }

    private void open(HttpConnection connection, HttpServerOptions options) {
        StrictRequestDecoder.install(connection, options, new HeadListener() {
            @Override
            public void onHeadBegun() {
                table.beginHead(connection, time.monotonicMillis());
            }

            @Override
            public void onHeadEnded() {
                table.endHead(connection, time.monotonicMillis());
            }
        });
        metrics.recordOpened(listener);
        connection.closeHandler(closed -> end(connection));
        ConnectionLimits current = limits.get();
        makeRoom(current);
        if (table.size() >= current.hardMaximum()) {
            close(connection, CloseReason.REFUSED);
            return;
        }
        table.open(connection, time.monotonicMillis());
        updateCrowded(current);
    }

    private void end(HttpConnection connection) {
        metrics.recordEnded(listener);
        table.remove(connection);
        updateCrowded(limits.get());
    }

    private void updateCrowded(ConnectionLimits current) {
        crowded = table.size() >= current.crowdedFrom();
    }

    private void begin(HttpServerRequest request, Handler<HttpServerRequest> handler) {
        HttpConnection connection = request.connection();
        table.beginRequest(connection);
        request.response().endHandler(ended -> table.endRequest(connection, time.monotonicMillis()));
        handler.handle(request);
    }

    /** Closes connections that wait for a request until there is room for a new one, or none is left that waits. */
    private void makeRoom(ConnectionLimits current) {
        while (table.size() >= current.maximum()) {
            Optional<HttpConnection> longest = table.longestWaiting(ConnectionChannel::unwrittenBytes);
            if (longest.isEmpty()) {
                return;
            }
            ConnectionChannel.readPending(longest.get());
            if (table.isWaiting(longest.get())) {
                close(longest.get(), CloseReason.DISPLACED);
            }
        }
    }

    private void close(HttpConnection connection, CloseReason reason) {
        long waitedMillis = table.waitedMillis(connection, time.monotonicMillis());
        int requests = table.remove(connection);
        metrics.recordClosed(listener, reason);
        events.emit(new ConnectionEvents.AcceptedConnectionClosed(
                listener,
                String.valueOf(connection.remoteAddress()),
                reason.name(),
                waitedMillis,
                requests,
                table.size()));
        if (reason == CloseReason.NOT_READING || reason == CloseReason.REFUSED) {
            ConnectionChannel.closeNow(connection);
        } else {
            connection.close();
        }
    }
}
