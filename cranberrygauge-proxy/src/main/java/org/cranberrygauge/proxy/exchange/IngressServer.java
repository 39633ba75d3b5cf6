package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.http.ConnectionChannel;
import org.cranberrygauge.runtime.http.ExhaustiveReads;
import org.cranberrygauge.runtime.http.StrictRequestDecoder;

/**
 * The HTTP server for callers, or for requests that other hosts pass on.
 *
 * <p>Invariant: it is closed only after what callers have sent was read and answered. Thread-safe.
 */
public final class IngressServer {

    /** The maximum size of all request headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 16_384;

    /** The maximum number of connections that wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final Vertx vertx;

    private final HttpServer server;

    /** The open connections; used on the event loop of the server. */
    private final Set<HttpConnection> connections = new HashSet<>();

    /** The event loop of the server; null before it listens. */
    private volatile Context context;

    /** @param invalid Handles requests that can't be decoded. */
    public IngressServer(Vertx vertx, Handler<HttpServerRequest> handler, Handler<HttpServerRequest> invalid) {
        this.vertx = vertx;
        HttpServerOptions options = new HttpServerOptions()
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setMaxInitialLineLength(MAXIMUM_REQUEST_LINE_BYTES)
                .setHandle100ContinueAutomatically(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(connection -> {
                    StrictRequestDecoder.install(connection, options);
                    ExhaustiveReads.enable(connection);
                    connections.add(connection);
                    connection.closeHandler(closed -> connections.remove(connection));
                })
                .invalidRequestHandler(invalid)
                .requestHandler(handler);
    }

    /** Starts to listen; completes when the socket is bound. */
    public Future<Void> listen(NetworkAddress address) {
        context = vertx.getOrCreateContext();
        return server.listen(address.port(), address.host()).mapEmpty();
    }

    /** Handles what callers have sent by now, then closes their connections and stops to listen; completes when that is done. */
    public Future<Void> close() {
        Promise<Void> closed = Promise.promise();
        context.runOnContext(run -> {
            List.copyOf(connections).forEach(ConnectionChannel::readPending);
            List.copyOf(connections).forEach(HttpConnection::close);
            server.close().onComplete(closed);
        });
        return closed.future();
    }
}
