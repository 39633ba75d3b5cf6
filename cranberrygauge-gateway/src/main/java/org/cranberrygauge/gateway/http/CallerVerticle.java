package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Consumer;
import org.cranberrygauge.runtime.http.StrictRequestDecoder;

/**
 * Lets one event loop listen to callers.
 *
 * <p>Used on its event loop.
 */
final class CallerVerticle extends VerticleBase {

    /** The options of the server. */
    private final HttpServerOptions options;

    /** The handler. */
    private final CallerHandler handler;

    /** The connections of callers. */
    private final IdleConnections connections;

    /** Takes the server once it listens. */
    private final Consumer<HttpServer> onListening;

    /**
     * Creates a verticle.
     *
     * @param options The options of the server.
     * @param handler The handler.
     * @param connections The connections of callers.
     * @param onListening Takes the server once it listens.
     */
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
