package org.cranberrygauge.proxy.control;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** The metrics of usage reports. Thread-safe. */
public final class UsageMetrics {

    private final Counter reported;

    private final Counter givenUp;

    public UsageMetrics(PrometheusRegistry registry) {
        reported = Counter.builder()
                .name("cranberrygauge_proxy_usage_reports_total")
                .help("Reports of usage windows that this host sent, by outcome.")
                .labelNames("outcome")
                .register(registry);
        givenUp = Counter.builder()
                .name("cranberrygauge_proxy_usage_windows_given_up_total")
                .help("Usage windows that this host did not report, by reason.")
                .labelNames("reason")
                .register(registry);
    }

    void recordReport(String outcome) {
        reported.labelValues(outcome).inc();
    }

    void recordGivenUp(String reason, long windows) {
        givenUp.labelValues(reason).inc(windows);
    }
}
