package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;

/**
 * Tells the balancer whether this host takes requests, and serves metrics.
 *
 * <p>Safe for use by several threads.
 */
public final class StatusServer {

    /** The status of a host that takes requests. */
    private static final int OK = 200;

    /** The status of a host that takes no requests. */
    private static final int UNAVAILABLE = 503;

    /** The status for an unknown path. */
    private static final int NOT_FOUND = 404;

    /** The path of the metrics. */
    private static final String METRICS_PATH = "/metrics";

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The path that the balancer asks. */
    private final String readyPath;

    /** Tells whether this host takes requests. */
    private final BooleanSupplier ready;

    /** Answers with metrics. */
    private final MetricsEndpoint metrics;

    /**
     * Creates a server.
     *
     * @param vertx The Vert.x instance.
     * @param readyPath The path that the balancer asks.
     * @param ready Tells whether this host takes requests.
     * @param registry The registry of the metrics.
     */
    public StatusServer(Vertx vertx, String readyPath, BooleanSupplier ready, PrometheusRegistry registry) {
        this.vertx = vertx;
        this.readyPath = readyPath;
        this.ready = ready;
        this.metrics = new MetricsEndpoint(registry);
    }

    /**
     * Starts to listen.
     *
     * @param address The address.
     * @return The end of the start.
     */
    public Future<Void> listen(NetworkAddress address) {
        return vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(address.port(), address.host())
                .mapEmpty();
    }

    /**
     * Answers a request.
     *
     * @param request The request.
     */
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
