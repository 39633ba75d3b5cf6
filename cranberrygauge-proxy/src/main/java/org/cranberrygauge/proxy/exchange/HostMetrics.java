package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of what a host believes and has in hand.
 *
 * <p>Safe for use by several threads.
 */
public final class HostMetrics {

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The requests in progress. */
    private final Gauge active;

    /** The requests that wait for room. */
    private final Gauge waiting;

    /** The version of the configuration. */
    private final Gauge version;

    /** The age of the last confirmation of the configuration. */
    private final Gauge age;

    /** The backend servers that are listed. */
    private final Gauge backends;

    /** The hosts that share the budget of repeats. */
    private final Gauge hosts;

    /** Whether the host takes requests. */
    private final Gauge ready;

    /**
     * Registers the metrics.
     *
     * @param registry The registry.
     */
    public HostMetrics(PrometheusRegistry registry) {
        active = gauge(registry, "active_requests", "Requests in progress.");
        waiting = gauge(registry, "waiting_requests", "Requests that wait for room at an engine.");
        version = gauge(registry, "configuration_version", "Version of the configuration; -1 if none is known.");
        age = gauge(registry, "configuration_age_seconds", "Age of the last confirmation of the configuration.");
        backends = gauge(registry, "backends", "Backend servers that are listed.");
        hosts = gauge(registry, "hosts", "Hosts that share the budget of repeats, this one included.");
        ready = gauge(registry, "ready", "1 while this host takes requests, else 0.");
    }

    /**
     * Notes what the host has in hand.
     *
     * @param activeRequests The requests in progress.
     * @param waitingRequests The requests that wait for room.
     */
    public void requests(int activeRequests, int waitingRequests) {
        active.set(activeRequests);
        waiting.set(waitingRequests);
    }

    /**
     * Notes what the host believes.
     *
     * @param configurationVersion The version of the configuration; -1 if none is known.
     * @param configurationAgeMillis The age of its last confirmation in milliseconds.
     * @param listedBackends The backend servers that are listed.
     * @param knownHosts The hosts that share the budget of repeats.
     * @param takesRequests Whether the host takes requests.
     */
    public void beliefs(
            long configurationVersion,
            long configurationAgeMillis,
            int listedBackends,
            int knownHosts,
            boolean takesRequests) {
        version.set(configurationVersion);
        age.set(configurationAgeMillis / MILLIS_PER_SECOND);
        backends.set(listedBackends);
        hosts.set(knownHosts);
        ready.set(takesRequests ? 1 : 0);
    }

    /**
     * Registers a gauge.
     *
     * @param registry The registry.
     * @param name The end of its name.
     * @param help What it tells.
     * @return The gauge.
     */
    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name("cranberrygauge_proxy_" + name).help(help).register(registry);
    }
}
