package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of a host's state. Thread-safe. */
public final class HostMetrics {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Gauge active;

    /** The requests that wait until an engine has capacity. */
    private final Gauge waiting;

    private final Gauge version;

    private final Gauge age;

    private final Gauge backends;

    /** The backend servers that are listed though the log no longer holds their entries. */
    private final Gauge retained;

    /** The hosts that share retry budgets, including this one; 0 while their number is not known. */
    private final Gauge hosts;

    private final Gauge ready;

    private final Gauge evacuated;

    private final Gauge cold;

    private final Gauge slow;

    private final Gauge fast;

    private final Gauge loopDelay;

    private final Gauge memory;

    public HostMetrics(PrometheusRegistry registry) {
        active = gauge(registry, "active_requests", "Requests in progress.");
        waiting = gauge(registry, "waiting_requests", "Requests that wait for room at an engine.");
        version = gauge(registry, "configuration_version", "Version of the configuration; -1 if none is known.");
        age = gauge(registry, "configuration_age_seconds", "Age of the last confirmation of the configuration.");
        backends = gauge(registry, "backends", "Backend servers that are listed.");
        retained = gauge(
                registry,
                "retained_backends",
                "Backend servers that are listed though their entries are gone, since the log may have been away.");
        hosts = gauge(
                registry,
                "hosts",
                "Hosts that share the budget of repeats, this one included; 0 while their number is not known.");
        ready = gauge(registry, "ready", "1 while this host takes requests, else 0.");
        evacuated = gauge(registry, "evacuated_data_centres", "Data centres that the operator has evacuated.");
        cold = gauge(
                registry, "cold_backends", "Backend servers that take a limited rate of requests since they are cold.");
        slow = gauge(
                registry, "slow_backends", "Backend servers that take 1.5 times as long as their pool, or longer.");
        fast = gauge(registry, "fast_backends", "Backend servers that take at most two thirds as long as their pool.");
        loopDelay = gauge(
                registry, "loop_delay_seconds", "Smoothed delay of the event loop of requests; -1 while unknown.");
        memory = gauge(
                registry, "request_memory_bytes", "Bytes of bodies and answers that this host holds for requests.");
    }

    /** Updates the metrics of requests. */
    public void recordRequests(int activeRequests, int waitingRequests) {
        active.set(activeRequests);
        waiting.set(waitingRequests);
    }

    /**
     * Updates the metrics of the host's state.
     *
     * @param configurationVersion The version of the configuration; -1 if none is known.
     * @param configurationAgeMillis The time since the configuration was last confirmed, in milliseconds.
     */
    public void recordState(
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

    /** Updates the metrics of restrictions on backend servers. */
    public void recordRestrictions(int evacuatedDataCentres, int coldBackends) {
        evacuated.set(evacuatedDataCentres);
        cold.set(coldBackends);
    }

    /** Updates the number of backend servers that are listed though their entries are gone. */
    public void recordRetained(int retainedBackends) {
        retained.set(retainedBackends);
    }

    /** Updates the metrics of the speed of backend servers. */
    public void recordSpeeds(int slowBackends, int fastBackends) {
        slow.set(slowBackends);
        fast.set(fastBackends);
    }

    /** Updates the metric of the processor's load; the delay is -1 ms while it is unknown. */
    public void recordLoopDelay(int delayMillis) {
        loopDelay.set(delayMillis < 0 ? -1 : delayMillis / MILLIS_PER_SECOND);
    }

    /** Updates the bytes that are reserved for requests. */
    public void recordMemory(long reservedBytes) {
        memory.set(reservedBytes);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name("cranberrygauge_proxy_" + name).help(help).register(registry);
    }
}
