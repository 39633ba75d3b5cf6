package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * The HTTP servers of a gateway: one for operations, and for callers one on each event loop.
 *
 * <p>Started once by one thread; the ports are set before the start completes.
 */
public final class GatewayServers {

    /** The port number by which Vert.x takes any free port and shares it between event loops. */
    private static final int SHARED_FREE_PORT = -1;

    /** The factor by which connections of callers may be idle longer than those of backend servers. */
    private static final int IDLE_FACTOR = 2;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** The server of callers. */
    private HttpServer callerServer;

    /** The server of operations. */
    private HttpServer operationsServer;

    /**
     * Creates the servers.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     */
    public GatewayServers(Vertx vertx, GatewaySettings settings) {
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
                    return callerServer(options(callerAddress()), callers);
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
     * Returns the address for callers, with a port that event loops share also where any free one is taken.
     *
     * @return The address.
     */
    private NetworkAddress callerAddress() {
        NetworkAddress address = settings.listenAddress();
        return new NetworkAddress(address.host(), address.port() == 0 ? SHARED_FREE_PORT : address.port());
    }

    /**
     * Lets the other event loops listen to callers too.
     *
     * @param callers The handler.
     * @return Completes when they listen.
     */
    private Future<Void> moreCallerServers(CallerHandler callers) {
        NetworkAddress address = callerAddress();
        Future<Void> all = Future.succeededFuture();
        for (int loop = 1; loop < settings.eventLoops(); loop++) {
            all = all.compose(done -> vertx.deployVerticle(new CallerVerticle(options(address), callers))
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
                .listen();
    }

    /**
     * Builds the options of a server.
     *
     * @param address The address.
     * @return The options.
     */
    private HttpServerOptions options(NetworkAddress address) {
        return new HttpServerOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setMaxHeaderSize(settings.headerLimitBytes())
                .setIdleTimeout((int) TimeUnit.MILLISECONDS.toSeconds(settings.backendTimeoutMillis()) * IDLE_FACTOR);
    }
}
