package org.cranberrygauge.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.gateway.http.CallerHandler;
import org.cranberrygauge.gateway.http.IdleConnections;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Lets several event loops listen to callers on one port.
 *
 * <p>Started once; safe for use by several threads.
 */
final class CallerServers {

    /** The port by which Vert.x lets several servers share any free one. */
    private static final int ANY_SHARED_PORT = -1;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** The connections. */
    private final IdleConnections connections;

    /** The port, once a server listens. */
    private final AtomicInteger port = new AtomicInteger();

    /**
     * Creates servers that do not listen yet.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     * @param connections The connections.
     */
    CallerServers(Vertx vertx, GatewaySettings settings, IdleConnections connections) {
        this.vertx = vertx;
        this.settings = settings;
        this.connections = connections;
    }

    /**
     * Starts to listen.
     *
     * @param handler The handler.
     * @return Completes when all event loops listen.
     */
    Future<Void> listen(CallerHandler handler) {
        Future<Void> all = Future.succeededFuture();
        for (int loop = 0; loop < settings.eventLoops(); loop++) {
            all = all.compose(
                    done -> vertx.deployVerticle(new CallerVerticle(options(), handler, connections, port::set))
                            .mapEmpty());
        }
        return all;
    }

    /**
     * Returns the port.
     *
     * @return The port.
     */
    int port() {
        return port.get();
    }

    /**
     * Builds the options of a server.
     *
     * @return The options.
     */
    private HttpServerOptions options() {
        NetworkAddress address = settings.listenAddress();
        return new HttpServerOptions()
                .setHost(address.host())
                .setPort(address.port() == 0 ? ANY_SHARED_PORT : address.port())
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(settings.headerLimitBytes());
    }
}
