package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.proxy.ProxySettings;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.http.AcceptedConnections;
import org.cranberrygauge.runtime.http.ConnectionMetrics;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The HTTP servers of a host: for callers, for other hosts, and for the load balancer. They close the connections that are kept
 * open for too long without use.
 *
 * <p>Started on the event loop of requests, on which all of them run.
 */
public final class HostServers {

    /** The interval between searches for connections that are kept open for too long without use. */
    private static final long CONNECTION_CHECK_MILLIS = 500;

    private final Vertx vertx;

    private final ProxySettings settings;

    private final TimeSource time;

    private final EventLog events;

    private final PrometheusRegistry registry;

    private final ConnectionMetrics metrics;

    private final IngressLimits limits;

    private final AcceptedConnections callers;

    private final IngressServer front;

    private final IngressServer peers;

    /** @param configuration Returns the configuration in force; empty if none is known. */
    public HostServers(
            Vertx vertx,
            ProxySettings settings,
            TimeSource time,
            EventLog events,
            PrometheusRegistry registry,
            Supplier<Optional<ProxyConfiguration>> configuration) {
        this.vertx = vertx;
        this.settings = settings;
        this.time = time;
        this.events = events;
        this.registry = registry;
        this.metrics = new ConnectionMetrics(registry);
        this.limits = new IngressLimits(settings.maximumDescriptors());
        this.callers = connections("callers", () -> limits.callers(configuration.get()));
        this.front = new IngressServer(vertx, callers);
        this.peers = new IngressServer(vertx, connections("hosts", limits::hosts));
    }

    /** Returns the servers that take requests, those of callers first. */
    public List<IngressServer> ingress() {
        return List.of(front, peers);
    }

    /** Returns the maximum number of requests in progress. */
    public int maximumRequests() {
        return limits.requests();
    }

    /** Tells whether callers should close their connections after a response. */
    public boolean isCrowded() {
        return callers.isCrowded();
    }

    /**
     * Starts to listen, for callers only once other hosts can connect; completes when all sockets are bound.
     *
     * @param ready Tells whether this host accepts requests.
     */
    public Future<Void> listen(CallerHandler handler, BooleanSupplier ready) {
        StatusServer status =
                new StatusServer(vertx, connections("status", limits::status), settings.readyPath(), ready, registry);
        vertx.setPeriodic(CONNECTION_CHECK_MILLIS, fired -> {
            front.closeOverdue();
            peers.closeOverdue();
            status.closeOverdue();
        });
        return peers.listen(settings.peers(), handler::handleForwarded, handler::handleInvalidForwarded)
                .compose(listening -> front.listen(settings.front(), handler, handler::handleInvalid))
                .compose(listening -> status.listen(settings.status()));
    }

    private AcceptedConnections connections(String listener, Supplier<ConnectionLimits> limitsInForce) {
        return new AcceptedConnections(listener, time, limitsInForce, metrics, events);
    }
}
