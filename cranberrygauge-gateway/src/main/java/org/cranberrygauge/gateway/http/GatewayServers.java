package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * The HTTP servers of a gateway: one for operations, and for callers one on each event loop.
 *
 * <p>Started once by one thread; the ports are set before the start completes.
 */
public final class GatewayServers {

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** The connections of callers. */
    private final IdleConnections connections;

    /** The server of callers. */
    private HttpServer callerServer;

    /** The server of operations. */
    private HttpServer operationsServer;

    /**
     * Creates the servers.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     * @param connections The connections of callers.
     */
    public GatewayServers(Vertx vertx, GatewaySettings settings, IdleConnections connections) {
        this.connections = connections;
        this.vertx = vertx;
        this.settings = settings;
    }

    /**
     * Starts to listen.
     *
     * @param callers The handler of callers.
     * @param operations The handler of operations.
     * @return Completes when all servers listen.
     */
    public Future<Void> listen(CallerHandler callers, OperationsHandler operations) {
        return vertx.createHttpServer(options(settings.operationsAddress()))
                .requestHandler(operations)
                .listen()
                .compose(listening -> {
                    operationsServer = listening;
                    return callerServer(callerOptions(settings.listenAddress()), callers);
                })
                .compose(listening -> {
                    callerServer = listening;
                    return moreCallerServers(callers);
                });
    }

    /**
     * Returns the port for callers.
     *
     * @return The port.
     */
    public int callerPort() {
        return callerServer.actualPort();
    }

    /**
     * Returns the port for operations.
     *
     * @return The port.
     */
    public int operationsPort() {
        return operationsServer.actualPort();
    }

    /**
     * Lets the other event loops listen to callers too.
     *
     * @param callers The handler.
     * @return Completes when they listen.
     */
    private Future<Void> moreCallerServers(CallerHandler callers) {
        NetworkAddress address = new NetworkAddress(settings.listenAddress().host(), callerPort());
        Future<Void> all = Future.succeededFuture();
        for (int loop = 1; loop < settings.eventLoops(); loop++) {
            all = all.compose(
                    done -> vertx.deployVerticle(new CallerVerticle(callerOptions(address), callers, connections))
                            .mapEmpty());
        }
        return all;
    }

    /**
     * Starts a server of callers on the present event loop.
     *
     * @param options The options.
     * @param callers The handler.
     * @return The server.
     */
    private Future<HttpServer> callerServer(HttpServerOptions options, CallerHandler callers) {
        return vertx.createHttpServer(options)
                .requestHandler(callers)
                .invalidRequestHandler(callers::handleInvalid)
                .connectionHandler(connections::opened)
                .listen();
    }

    /**
     * Builds the options of a server of callers.
     *
     * @param address The address.
     * @return The options.
     */
    private HttpServerOptions callerOptions(NetworkAddress address) {
        return options(address).setHttp2ClearTextEnabled(false).setMaxHeaderSize(settings.headerLimitBytes());
    }

    /**
     * Builds the options of a server.
     *
     * @param address The address.
     * @return The options.
     */
    private static HttpServerOptions options(NetworkAddress address) {
        return new HttpServerOptions().setHost(address.host()).setPort(address.port());
    }
}
