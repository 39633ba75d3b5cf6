package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpServerOptions;

/**
 * Lets one more event loop listen to callers.
 *
 * <p>Used on its event loop.
 */
final class CallerVerticle extends VerticleBase {

    /** The options of the server. */
    private final HttpServerOptions options;

    /** The handler. */
    private final CallerHandler handler;

    /**
     * Creates a verticle.
     *
     * @param options The options of the server.
     * @param handler The handler.
     */
    CallerVerticle(HttpServerOptions options, CallerHandler handler) {
        this.options = options;
        this.handler = handler;
    }

    @Override
    public Future<?> start() {
        return vertx.createHttpServer(options)
                .requestHandler(handler)
                .invalidRequestHandler(handler::handleInvalid)
                .listen();
    }
}
