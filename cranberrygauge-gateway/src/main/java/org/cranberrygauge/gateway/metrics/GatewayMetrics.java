package org.cranberrygauge.gateway.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of a gateway.
 *
 * <p>Labels are bounded by the configuration: customers and classes come from it, codes from an enumeration. Safe for use
 * by several threads.
 */
public final class GatewayMetrics {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The labels of histograms. */
    private static final String[] LABELS = {"customer", "class"};

    /** The bounds of times of whole requests in seconds. */
    private static final double[] REQUEST_BOUNDS = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2.5, 5, 10, 30, 120};

    /** The bounds of times between tokens in seconds. */
    private static final double[] TOKEN_BOUNDS = {0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.5};

    /** The time to the first token. */
    private final Histogram firstToken;

    /** The time between tokens. */
    private final Histogram betweenTokens;

    /** The time in the queue. */
    private final Histogram queueWait;

    /** The time of whole requests. */
    private final Histogram total;

    /** The refused requests. */
    private final Counter refused;

    /** The attempts that failed. */
    private final Counter failedAttempts;

    /** The tokens delivered. */
    private final Counter outputTokens;

    /**
     * Creates and registers the metrics.
     *
     * @param registry The registry.
     */
    public GatewayMetrics(PrometheusRegistry registry) {
        firstToken = histogram(
                registry,
                "cranberrygauge_first_token_seconds",
                "Time from arrival to the first token.",
                REQUEST_BOUNDS);
        betweenTokens =
                histogram(registry, "cranberrygauge_between_tokens_seconds", "Time between tokens.", TOKEN_BOUNDS);
        queueWait = histogram(registry, "cranberrygauge_queue_wait_seconds", "Time in the queue.", REQUEST_BOUNDS);
        total = histogram(
                registry,
                "cranberrygauge_request_seconds",
                "Time from arrival to the end of the answer.",
                REQUEST_BOUNDS);
        refused = Counter.builder()
                .name("cranberrygauge_refused_total")
                .help("Refused requests by reason code.")
                .labelNames("class", "code")
                .register(registry);
        failedAttempts = Counter.builder()
                .name("cranberrygauge_failed_attempts_total")
                .help("Attempts that failed at a backend server, by what followed.")
                .labelNames("class", "next")
                .register(registry);
        outputTokens = Counter.builder()
                .name("cranberrygauge_output_tokens_total")
                .help("Tokens delivered to callers.")
                .labelNames(LABELS)
                .register(registry);
    }

    /**
     * Builds a histogram.
     *
     * @param registry The registry.
     * @param name The name.
     * @param help The description.
     * @param bounds The upper bounds in seconds.
     * @return The histogram.
     */
    private static Histogram histogram(PrometheusRegistry registry, String name, String help, double[] bounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(LABELS)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(registry);
    }

    /**
     * Observes the time to the first token.
     *
     * @param customer The customer.
     * @param className The class.
     * @param millis The time in milliseconds.
     */
    public void firstToken(String customer, String className, double millis) {
        firstToken.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Observes the time between two tokens.
     *
     * @param customer The customer.
     * @param className The class.
     * @param millis The time in milliseconds.
     */
    public void betweenTokens(String customer, String className, double millis) {
        betweenTokens.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
        outputTokens.labelValues(customer, className).inc();
    }

    /**
     * Observes the time in the queue.
     *
     * @param customer The customer.
     * @param className The class.
     * @param millis The time in milliseconds.
     */
    public void queueWait(String customer, String className, double millis) {
        queueWait.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Observes the time of a whole request.
     *
     * @param customer The customer.
     * @param className The class.
     * @param millis The time in milliseconds.
     */
    public void total(String customer, String className, double millis) {
        total.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a refusal.
     *
     * @param className The class, or an empty string.
     * @param code The reason code.
     */
    public void refused(String className, String code) {
        refused.labelValues(className, code).inc();
    }

    /**
     * Counts a failed attempt.
     *
     * @param className The class.
     * @param next What follows.
     */
    public void failedAttempt(String className, String next) {
        failedAttempts.labelValues(className, next).inc();
    }
}
