package org.cranberrygauge.gateway.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.AcceptedConnections;
import org.cranberrygauge.runtime.http.ConnectionMetrics;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.time.TimeSource;
import org.cranberrygauge.runtime.tls.CertificateFiles;
import org.cranberrygauge.runtime.tls.CertificateReloader;

/**
 * The HTTP servers of a gateway: one for operations, and one per event loop for callers.
 *
 * <p>Started once by one thread; the ports are set before the start completes.
 */
public final class GatewayServers {

    /** The port number with which Vert.x lets several servers share one free port. */
    private static final int ANY_SHARED_PORT = -1;

    private final Vertx vertx;

    private final GatewaySettings settings;

    private final ConnectionMetrics metrics;

    private final TimeSource time;

    private final EventLog events;

    /** The servers for callers that listen. */
    private final List<CallerVerticle> callerServers = new CopyOnWriteArrayList<>();

    /** The certificate the servers were started with; null without TLS. */
    private CertificateFiles.Content certificate;

    /** One of the servers for callers, which share the port and the certificate. */
    private volatile HttpServer callerServer;

    private HttpServer operationsServer;

    public GatewayServers(
            Vertx vertx, GatewaySettings settings, ConnectionMetrics metrics, TimeSource time, EventLog events) {
        this.metrics = metrics;
        this.time = time;
        this.vertx = vertx;
        this.settings = settings;
        this.events = events;
    }

    /** Starts all servers and completes once they are listening. */
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
                .onSuccess(listening -> files.ifPresent(this::startReloading));
    }

    /** Returns the port that was bound for callers. */
    public int callerPort() {
        return callerServer.actualPort();
    }

    /** Returns the port that was bound for operations. */
    public int operationsPort() {
        return operationsServer.actualPort();
    }

    /** Starts one server per event loop. */
    private Future<Void> listenToCallers(CallerHandler callers) {
        ConnectionLimits limits = limitsOfOneLoop();
        Future<Void> all = Future.succeededFuture();
        for (int loop = 0; loop < settings.eventLoops(); loop++) {
            all = all.compose(done -> listenOnOneLoop(callers, limits));
        }
        return all;
    }

    private Future<Void> listenOnOneLoop(CallerHandler callers, ConnectionLimits limits) {
        AcceptedConnections connections = new AcceptedConnections("callers", time, () -> limits, metrics, events);
        CallerVerticle server =
                new CallerVerticle(callerOptions(), callers, connections, listening -> callerServer = listening);
        return vertx.deployVerticle(server)
                .onSuccess(deployed -> callerServers.add(server))
                .mapEmpty();
    }

    /** Returns the limits on the connections of one event loop. */
    private ConnectionLimits limitsOfOneLoop() {
        return new ConnectionLimits(
                settings.callerIdleTimeoutMillis(),
                settings.callerHeaderTimeoutMillis(),
                Math.max(1, settings.callerConnectionLimit() / settings.eventLoops()));
    }

    /** Handles what callers have sent by now, and closes their connections. */
    public void closeCallerConnections() {
        callerServers.forEach(CallerVerticle::closeConnections);
    }

    /** Starts the periodic check for replaced certificates. */
    private void startReloading(CertificateFiles files) {
        new CertificateReloader(vertx, files, certificate, callerServer, events)
                .start(settings.tls().reloadMillis());
    }

    private HttpServerOptions callerOptions() {
        NetworkAddress address = settings.listenAddress();
        HttpServerOptions options = options(address)
                .setPort(address.port() == 0 ? ANY_SHARED_PORT : address.port())
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setMaxHeaderSize(settings.headerLimitBytes());
        return certificate == null ? options : options.setSsl(true).setKeyCertOptions(certificate.options());
    }

    private static HttpServerOptions options(NetworkAddress address) {
        return new HttpServerOptions().setHost(address.host()).setPort(address.port());
    }
}
