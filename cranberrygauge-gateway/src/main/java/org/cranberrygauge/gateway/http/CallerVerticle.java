package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Consumer;
import org.cranberrygauge.runtime.http.AcceptedConnections;

/**
 * An HTTP server for callers on one event loop.
 *
 * <p>Used on its event loop, except for the methods that state otherwise.
 */
final class CallerVerticle extends VerticleBase {

    /** The interval between searches for connections that are kept open for too long without use. */
    private static final long CONNECTION_CHECK_MILLIS = 500;

    private final HttpServerOptions options;

    private final CallerHandler handler;

    private final AcceptedConnections connections;

    private final Consumer<HttpServer> onListening;

    /** @param connections The connections of this server alone. */
    CallerVerticle(
            HttpServerOptions options,
            CallerHandler handler,
            AcceptedConnections connections,
            Consumer<HttpServer> onListening) {
        this.onListening = onListening;
        this.connections = connections;
        this.options = options;
        this.handler = handler;
    }

    @Override
    public Future<?> start() {
        HttpServer server = vertx.createHttpServer(options);
        connections.serve(server, options, opened -> {}, handler, handler::handleInvalid);
        vertx.setPeriodic(CONNECTION_CHECK_MILLIS, fired -> connections.closeOverdue());
        return server.listen().onSuccess(onListening::accept);
    }

    /** Handles what callers have sent by now, and closes their connections. May be called on any thread. */
    void closeConnections() {
        context.runOnContext(run -> connections.closeAll());
    }
}
