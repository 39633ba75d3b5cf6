package org.cranberrygauge.gateway.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of a gateway.
 *
 * <p>Label values are bounded: customers and classes are taken from the configuration, codes from an enumeration. Safe
 * for use by several threads.
 */
public final class GatewayMetrics {

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final String[] LABELS = {"customer", "class"};

    /** The bucket bounds of request durations in seconds. */
    private static final double[] REQUEST_BOUNDS = {0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2.5, 5, 10, 30, 120};

    /** The bucket bounds of token intervals in seconds. */
    private static final double[] TOKEN_BOUNDS = {0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.5};

    private final Histogram firstToken;

    private final Histogram betweenTokens;

    private final Histogram queueWait;

    private final Histogram total;

    private final Counter refused;

    private final Counter failedAttempts;

    private final Counter outputTokens;

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

    private static Histogram histogram(PrometheusRegistry registry, String name, String help, double[] bounds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(LABELS)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(registry);
    }

    /** Records the time from arrival to the first token in milliseconds. */
    public void firstToken(String customer, String className, double millis) {
        firstToken.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /** Records the interval between two tokens in milliseconds, and counts the token. */
    public void betweenTokens(String customer, String className, double millis) {
        betweenTokens.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
        outputTokens.labelValues(customer, className).inc();
    }

    /** Records the time spent in the queue in milliseconds. */
    public void queueWait(String customer, String className, double millis) {
        queueWait.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /** Records the time from arrival to the end of the answer in milliseconds. */
    public void total(String customer, String className, double millis) {
        total.labelValues(customer, className).observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a refused request.
     *
     * @param className The class; an empty string if it is not known.
     * @param code The reason code.
     */
    public void refused(String className, String code) {
        refused.labelValues(className, code).inc();
    }

    /**
     * Counts a failed attempt.
     *
     * @param next The code of the next step, such as a retry.
     */
    public void failedAttempt(String className, String next) {
        failedAttempts.labelValues(className, next).inc();
    }
}
