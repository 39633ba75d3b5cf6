package org.cranberrygauge.runtime.http;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cranberrygauge.decision.connection.CloseReason;

/** The metrics of the connections that a process has accepted. Thread-safe. */
public final class ConnectionMetrics {

    private static final String LISTENER = "listener";

    private final Gauge open;

    private final Counter closed;

    public ConnectionMetrics(PrometheusRegistry registry) {
        open = Gauge.builder()
                .name("cranberrygauge_accepted_connections")
                .help("Open connections that were accepted, by listener: callers, hosts or status.")
                .labelNames(LISTENER)
                .register(registry);
        closed = Counter.builder()
                .name("cranberrygauge_closed_connections_total")
                .help("Accepted connections that were closed outside of a request, by listener and reason.")
                .labelNames(LISTENER, "reason")
                .register(registry);
    }

    /** Counts a connection that was opened. */
    public void recordOpened(String listener) {
        open.labelValues(listener).inc();
    }

    /** Counts that a connection has ended, by whichever side. */
    public void recordEnded(String listener) {
        open.labelValues(listener).dec();
    }

    /** Counts a connection that was closed by this process while no request was in progress there. */
    public void recordClosed(String listener, CloseReason reason) {
        closed.labelValues(listener, reason.name()).inc();
    }
}
