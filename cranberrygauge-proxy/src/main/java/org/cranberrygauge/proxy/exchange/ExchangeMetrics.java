package org.cranberrygauge.proxy.exchange;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of requests.
 *
 * <p>Safe for use by several threads.
 */
public final class ExchangeMetrics {

    /** The label that holds the route. */
    private static final String ROUTE = "route";

    /** The label that holds the customer. */
    private static final String CUSTOMER = "customer";

    /** The label that holds the outcome. */
    private static final String OUTCOME = "outcome";

    /** The milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The upper bounds of the buckets in seconds. */
    private static final double[] BUCKETS = {0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

    /** The ended requests. */
    private final Counter ended;

    /** The failed attempts. */
    private final Counter attempts;

    /** The time to the first event or the whole answer. */
    private final Histogram first;

    /**
     * Registers the metrics.
     *
     * @param registry The registry.
     */
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
        first = Histogram.builder()
                .name("cranberrygauge_proxy_first_seconds")
                .help("Time to the first event or the whole answer, by route and customer.")
                .labelNames(ROUTE, CUSTOMER)
                .classicOnly()
                .classicUpperBounds(BUCKETS)
                .register(registry);
    }

    /**
     * Counts a request that ended.
     *
     * @param route The route, or a dash if none matched.
     * @param customer The customer, or a dash if there is none.
     * @param outcome How it ended.
     */
    public void ended(String route, String customer, String outcome) {
        ended.labelValues(route, customer, outcome).inc();
    }

    /**
     * Counts a failed attempt.
     *
     * @param pool The pool.
     * @param outcome How it ended.
     */
    public void attemptFailed(String pool, String outcome) {
        attempts.labelValues(pool, outcome).inc();
    }

    /**
     * Notes the time to the first event or the whole answer.
     *
     * @param route The route.
     * @param customer The customer.
     * @param millis The time in milliseconds.
     */
    public void first(String route, String customer, long millis) {
        first.labelValues(route, customer).observe(millis / MILLIS_PER_SECOND);
    }
}
