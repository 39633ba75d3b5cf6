package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of requests. Thread-safe. */
public final class ExchangeMetrics {

    private static final String ROUTE = "route";

    private static final String CUSTOMER = "customer";

    private static final String OUTCOME = "outcome";

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The upper bounds of the histogram buckets in seconds. */
    private static final double[] BUCKETS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

    /** The upper bounds of the buckets of ages of the list in seconds, among them the drain bounds of deployments. */
    private static final double[] LIST_AGE_BUCKETS = {0.25, 0.5, 1, 1.5, 2, 3, 4, 8, 16};

    private final Counter ended;

    private final Counter attempts;

    private final Counter unavailable;

    private final Counter returns;

    private final Counter stalled;

    private final Histogram first;

    private final Histogram listAge;

    private final Counter waited;

    private final Counter waitedSeconds;

    public ExchangeMetrics(PrometheusRegistry registry) {
        ended = Counter.builder()
                .name("cranberrygauge_proxy_requests_total")
                .help("Requests that ended, by route, customer and outcome.")
                .labelNames(ROUTE, CUSTOMER, OUTCOME)
                .register(registry);
        attempts = Counter.builder()
                .name("cranberrygauge_proxy_failed_attempts_total")
                .help("Attempts at backend servers that failed, by pool and outcome.")
                .labelNames("pool", OUTCOME)
                .register(registry);
        unavailable = Counter.builder()
                .name("cranberrygauge_proxy_unavailable_total")
                .help("Choices whose best backend server took no request by its own statement, by pool and reason.")
                .labelNames("pool", "reason")
                .register(registry);
        returns = Counter.builder()
                .name("cranberrygauge_proxy_returns_total")
                .help("Rejections with a time until the pool has room, by pool and whether it is predicted.")
                .labelNames("pool", "predicted")
                .register(registry);
        stalled = Counter.builder()
                .name("cranberrygauge_proxy_stalled_callers_total")
                .help("Callers that were disconnected as they had stopped reading while memory was short.")
                .register(registry);
        first = Histogram.builder()
                .name("cranberrygauge_proxy_first_seconds")
                .help("Time to the first event or the whole answer, by route and customer.")
                .labelNames(ROUTE, CUSTOMER)
                .classicOnly()
                .classicUpperBounds(BUCKETS)
                .register(registry);
        listAge = Histogram.builder()
                .name("cranberrygauge_proxy_backend_list_age_seconds")
                .help(
                        "Age of the list of backend servers when a request was sent to one, by who read it: LOG for this host,"
                                + " OTHER_HOST for one that it queried, NONE for nobody.")
                .labelNames("source")
                .classicOnly()
                .classicUpperBounds(LIST_AGE_BUCKETS)
                .register(registry);
        waited = Counter.builder()
                .name("cranberrygauge_proxy_waited_total")
                .help("Requests that left the queue for a backend server, by route, customer and outcome.")
                .labelNames(ROUTE, CUSTOMER, OUTCOME)
                .register(registry);
        waitedSeconds = Counter.builder()
                .name("cranberrygauge_proxy_waited_seconds_total")
                .help("Time that requests spent in the queue for a backend server, by route and customer.")
                .labelNames(ROUTE, CUSTOMER)
                .register(registry);
    }

    /**
     * Counts an ended request.
     *
     * @param route The name of the route, or a dash if none matched.
     * @param customer The customer, or a dash if there is none.
     */
    public void recordEnd(String route, String customer, String outcome) {
        ended.labelValues(route, customer, outcome).inc();
    }

    /**
     * Records that a request has left the queue for a backend server.
     *
     * @param millis The time in the queue in milliseconds.
     */
    public void recordWait(String route, String customer, String outcome, long millis) {
        waited.labelValues(route, customer, outcome).inc();
        waitedSeconds.labelValues(route, customer).inc(millis / MILLIS_PER_SECOND);
    }

    /**
     * Records that a request was sent to a backend server.
     *
     * @param listSource Who read the list of servers.
     * @param listAgeMillis The age of that list in milliseconds; -1 if it was never read to its end.
     */
    public void recordSent(String listSource, long listAgeMillis) {
        listAge.labelValues(listSource).observe(listAgeMillis / MILLIS_PER_SECOND);
    }

    /** Counts a failed attempt. */
    public void recordFailedAttempt(String pool, String outcome) {
        attempts.labelValues(pool, outcome).inc();
    }

    /** Counts that the best backend server for a request was not available. */
    public void recordUnavailable(String pool, String reason) {
        unavailable.labelValues(pool, reason).inc();
    }

    /** Counts a rejection with a return time. */
    public void recordReturn(String pool, boolean predicted) {
        returns.labelValues(pool, Boolean.toString(predicted)).inc();
    }

    /** Counts a caller that was disconnected because it had stopped reading. */
    public void recordStalledCaller() {
        stalled.inc();
    }

    /**
     * Records the time to the first event or the complete response.
     *
     * @param millis The time in milliseconds.
     */
    public void recordFirstEvent(String route, String customer, long millis) {
        first.labelValues(route, customer).observe(millis / MILLIS_PER_SECOND);
    }
}
