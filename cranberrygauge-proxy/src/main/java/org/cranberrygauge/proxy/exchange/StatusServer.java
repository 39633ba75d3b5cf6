package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.http.AcceptedConnections;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;

/** Tells the load balancer whether this host accepts requests, and serves metrics. Thread-safe, except for {@link #closeOverdue()}. */
public final class StatusServer {

    private static final int OK = 200;

    private static final int UNAVAILABLE = 503;

    private static final int NOT_FOUND = 404;

    private static final String METRICS_PATH = "/metrics";

    private static final int BAD_REQUEST = 400;

    private final HttpServer server;

    /** Used on the event loop of the server. */
    private final AcceptedConnections connections;

    /** The path of the readiness endpoint. */
    private final String readyPath;

    private final BooleanSupplier ready;

    private final MetricsEndpoint metrics;

    /** @param connections The connections of this server alone. */
    public StatusServer(
            Vertx vertx,
            AcceptedConnections connections,
            String readyPath,
            BooleanSupplier ready,
            PrometheusRegistry registry) {
        this.connections = connections;
        this.readyPath = readyPath;
        this.ready = ready;
        this.metrics = new MetricsEndpoint(registry);
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(options);
        connections.serve(server, options, opened -> {}, this::handle, this::handleInvalid);
    }

    /** Closes the connections that are kept open for too long without use; called on the event loop of the server. */
    public void closeOverdue() {
        connections.closeOverdue();
    }

    /** Starts to listen; completes when the socket is bound. */
    public Future<Void> listen(NetworkAddress address) {
        return server.listen(address.port(), address.host()).mapEmpty();
    }

    private void handle(HttpServerRequest request) {
        if (METRICS_PATH.equals(request.path())) {
            metrics.handle(request);
            return;
        }
        if (!readyPath.equals(request.path())) {
            request.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        request.response()
                .setStatusCode(ready.getAsBoolean() ? OK : UNAVAILABLE)
                .end();
    }

    private void handleInvalid(HttpServerRequest request) {
        request.response().setStatusCode(BAD_REQUEST).end();
        request.connection().close();
    }
}
