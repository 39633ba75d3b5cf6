package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Consumer;
import org.cranberrygauge.runtime.http.StrictRequestDecoder;

/**
 * An HTTP server for callers on one event loop.
 *
 * <p>Used on its event loop.
 */
final class CallerVerticle extends VerticleBase {

    private final HttpServerOptions options;

    private final CallerHandler handler;

    private final IdleConnections connections;

    private final Consumer<HttpServer> onListening;

    CallerVerticle(
            HttpServerOptions options,
            CallerHandler handler,
            IdleConnections connections,
            Consumer<HttpServer> onListening) {
        this.onListening = onListening;
        this.connections = connections;
        this.options = options;
        this.handler = handler;
    }

    @Override
    public Future<?> start() {
        return vertx.createHttpServer(options)
                .requestHandler(handler)
                .invalidRequestHandler(handler::handleInvalid)
                .connectionHandler(connection -> {
                    StrictRequestDecoder.install(connection, options);
                    connections.opened(connection);
                })
                .listen()
                .onSuccess(onListening::accept);
    }
}
