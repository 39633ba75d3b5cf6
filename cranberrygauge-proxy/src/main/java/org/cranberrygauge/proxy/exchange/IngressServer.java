package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.http.ExhaustiveReads;
import org.cranberrygauge.runtime.http.StrictRequestDecoder;

/** The HTTP server for callers, or for requests that other hosts pass on. Thread-safe. */
public final class IngressServer {

    /** The maximum size of all request headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_REQUEST_LINE_BYTES = 16_384;

    /** The maximum number of connections that wait to be accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final HttpServer server;

    /** @param invalid Handles requests that can't be decoded. */
    public IngressServer(Vertx vertx, Handler<HttpServerRequest> handler, Handler<HttpServerRequest> invalid) {
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
                })
                .invalidRequestHandler(invalid)
                .requestHandler(handler);
    }

    /** Starts to listen; completes when the socket is bound. */
    public Future<Void> listen(NetworkAddress address) {
        return server.listen(address.port(), address.host()).mapEmpty();
    }
}
