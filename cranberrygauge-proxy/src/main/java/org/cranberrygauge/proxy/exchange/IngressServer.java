package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.http.AcceptedConnections;
import org.cranberrygauge.runtime.http.ExhaustiveReads;

/**
 * The HTTP server for callers, or for requests that other hosts pass on.
 *
 * <p>Invariant: it is closed only after what callers have sent was read and answered. Thread-safe, except for
 * {@link #closeOverdue()}.
 */
public final class IngressServer {

    /** The maximum size of all request headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 16_384;

    /** The maximum number of connections that wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final Vertx vertx;

    private final HttpServerOptions options;

    private final HttpServer server;

    /** Used on the event loop of the server. */
    private final AcceptedConnections connections;

    /** The event loop of the server; null before it listens. */
    private volatile Context context;

    /** @param connections The connections of this server alone. */
    IngressServer(Vertx vertx, AcceptedConnections connections) {
        this.vertx = vertx;
        this.connections = connections;
        this.options = new HttpServerOptions()
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
                .setHandle100ContinueAutomatically(true);
        server = vertx.createHttpServer(options);
    }

    /**
     * Starts to listen; completes when the socket is bound.
     *
     * @param invalid Handles requests that can't be decoded.
     */
    Future<Void> listen(
            NetworkAddress address, Handler<HttpServerRequest> handler, Handler<HttpServerRequest> invalid) {
        connections.serve(server, options, ExhaustiveReads::enable, handler, invalid);
        context = vertx.getOrCreateContext();
        return server.listen(address.port(), address.host()).mapEmpty();
    }

    /** Closes the connections that are kept open for too long without use; called on the event loop of the server. */
    void closeOverdue() {
        connections.closeOverdue();
    }

    /** Handles what callers have sent by now, then closes their connections and stops to listen; completes when that is done. */
    public Future<Void> close() {
        Promise<Void> closed = Promise.promise();
        context.runOnContext(run -> {
            connections.closeAll();
            server.close().onComplete(closed);
        });
        return closed.future();
    }
}
