package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.Optional;
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

    /** The port by which Vert.x lets several servers share any free one. */
    private static final int ANY_SHARED_PORT = -1;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The settings. */
    private final GatewaySettings settings;

    /** The connections of callers. */
    private final IdleConnections connections;

    /** The event log. */
    private final EventLog events;

    /** What the files of TLS held at the start; null without TLS. */
    private CertificateFiles.Content certificate;

    /** One of the servers of callers, which share the port and the certificates. */
    private volatile HttpServer callerServer;

    /** The server of operations. */
    private HttpServer operationsServer;

    /**
     * Creates the servers.
     *
     * @param vertx The Vert.x instance.
     * @param settings The settings.
     * @param connections The connections of callers.
     * @param events The event log.
     */
    public GatewayServers(Vertx vertx, GatewaySettings settings, IdleConnections connections, EventLog events) {
        this.connections = connections;
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
                    return listenToCallers(callers);
                })
                .onSuccess(listening -> files.ifPresent(this::reload));
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
     * Lets each event loop listen to callers.
     *
     * @param callers The handler.
     * @return Completes when they listen.
     */
    private Future<Void> listenToCallers(CallerHandler callers) {
        Future<Void> all = Future.succeededFuture();
        for (int loop = 0; loop < settings.eventLoops(); loop++) {
            all = all.compose(done -> vertx.deployVerticle(new CallerVerticle(
                            callerOptions(), callers, connections, listening -> callerServer = listening))
                    .mapEmpty());
        }
        return all;
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
     * @return The options.
     */
    private HttpServerOptions callerOptions() {
        NetworkAddress address = settings.listenAddress();
        HttpServerOptions options = options(address)
                .setPort(address.port() == 0 ? ANY_SHARED_PORT : address.port())
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setMaxHeaderSize(settings.headerLimitBytes());
        return certificate == null ? options : options.setSsl(true).setKeyCertOptions(certificate.options());
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
