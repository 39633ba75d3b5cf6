package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.tls.CertificateFiles;
import org.cranberrygauge.runtime.tls.CertificateReloader;

/**
 * The HTTP servers of a gateway: one for operations, and for callers one on each event loop.
 *
 * <p>Started once by one thread; the ports are set before the start completes.
 */
public final class GatewayServers {

    /** The factor by which connections of callers may be idle longer than those of backend servers. */
    private static final int IDLE_FACTOR = 2;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** The event log. */
    private final EventLog events;

    /** What the files of TLS held at the start; null without TLS. */
    private CertificateFiles.Content certificate;

    /** The server of callers. */
    private HttpServer callerServer;

    /** The server of operations. */
    private HttpServer operationsServer;

    /**
     * Creates the servers.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     * @param events The event log.
     */
    public GatewayServers(Vertx vertx, GatewaySettings settings, EventLog events) {
        this.vertx = vertx;
        this.settings = settings;
        this.events = events;
    }

    /**
     * Starts to listen.
     *
     * @param callers The handler of callers.
     * @param operations The handler of operations.
     * @return Completes when all servers listen.
     */
    public Future<Void> listen(CallerHandler callers, OperationsHandler operations) {
        Optional<CertificateFiles> files;
        try {
            files = settings.tls().files();
            certificate = files.isPresent() ? files.get().read() : null;
        } catch (SettingException exception) {
            return Future.failedFuture(exception);
        }
        return vertx.createHttpServer(options(settings.operationsAddress()))
                .requestHandler(operations)
                .listen()
                .compose(listening -> {
                    operationsServer = listening;
                    return callerServer(callerOptions(settings.listenAddress()), callers);
                })
                .compose(listening -> {
                    callerServer = listening;
                    files.ifPresent(this::reload);
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
            all = all.compose(done -> vertx.deployVerticle(new CallerVerticle(callerOptions(address), callers))
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
     * Starts to look for replaced certificates.
     *
     * @param files The files.
     */
    private void reload(CertificateFiles files) {
        new CertificateReloader(vertx, files, certificate, callerServer, events)
                .start(settings.tls().reloadMillis());
    }

    /**
     * Builds the options of a server of callers.
     *
     * @param address The address.
     * @return The options.
     */
    private HttpServerOptions callerOptions(NetworkAddress address) {
        HttpServerOptions options = options(address);
        return certificate == null ? options : options.setSsl(true).setKeyCertOptions(certificate.options());
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
