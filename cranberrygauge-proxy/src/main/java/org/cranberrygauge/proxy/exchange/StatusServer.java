package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;

/** Tells the load balancer whether this host accepts requests, and serves metrics. Thread-safe. */
public final class StatusServer {

    private static final int OK = 200;

    private static final int UNAVAILABLE = 503;

    private static final int NOT_FOUND = 404;

    private static final String METRICS_PATH = "/metrics";

    private final Vertx vertx;

    /** The path of the readiness endpoint. */
    private final String readyPath;

    private final BooleanSupplier ready;

    private final MetricsEndpoint metrics;

    public StatusServer(Vertx vertx, String readyPath, BooleanSupplier ready, PrometheusRegistry registry) {
        this.vertx = vertx;
        this.readyPath = readyPath;
        this.ready = ready;
        this.metrics = new MetricsEndpoint(registry);
    }

    /** Starts to listen; completes when the socket is bound. */
    public Future<Void> listen(NetworkAddress address) {
        return vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(address.port(), address.host())
                .mapEmpty();
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
}
