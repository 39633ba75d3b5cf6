package org.cranberrygauge.verification.capacity;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;

/**
 * Measures the metrics of one gateway.
 *
 * <p>Not thread-safe.
 */
final class MetricsBenchmark {

    /** The numbers of customers, each of which uses all classes. */
    private static final int[] CUSTOMERS = {10, 50, 100, 200, 400, 670};

    private static final double OBSERVED_MILLIS = 25;

    private final Meter meter;

    MetricsBenchmark(Meter meter) {
        this.meter = meter;
    }

    List<Slope> measure() {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> scrape = new ArrayList<>();
        List<Sample> memory = new ArrayList<>();
        List<Sample> token = new ArrayList<>();
        List<Sample> compressed = new ArrayList<>();
        for (int customers : CUSTOMERS) {
            double pairs = (double) customers * SyntheticData.CLASSES;
            memory.add(new Sample(pairs, meter.bytes(MetricsBenchmark::registry, customers)));
            PrometheusRegistry registry = registry(customers);
            bytes.add(new Sample(pairs, scrape(registry, false)));
            compressed.add(new Sample(pairs, scrape(registry, true)));
            scrape.add(new Sample(pairs, meter.micros(() -> scrape(registry, true))));
            GatewayMetrics metrics = new GatewayMetrics(new PrometheusRegistry());
            fill(metrics, customers);
            String customer = "customer-" + customers / 2;
            token.add(new Sample(pairs, meter.micros(() -> observed(metrics, customer))));
        }
        return List.of(
                Slope.of("metrics bytes of a scrape", "pairs of customer and class", "bytes", bytes),
                Slope.of("metrics bytes of a compressed scrape", "pairs of customer and class", "bytes", compressed),
                Slope.of("metrics work of a compressed scrape", "pairs of customer and class", "microseconds", scrape),
                Slope.of("memory: metrics", "pairs of customer and class", "bytes", memory),
                Slope.of("metrics work of one token", "pairs of customer and class", "microseconds", token));
    }

    /** Builds a registry in which every pair of customer and class has observations. */
    private static PrometheusRegistry registry(int customers) {
        PrometheusRegistry registry = new PrometheusRegistry();
        fill(new GatewayMetrics(registry), customers);
        return registry;
    }

    /** Observes every pair of customer and class once. */
    private static void fill(GatewayMetrics metrics, int customers) {
        for (int customer = 0; customer < customers; customer++) {
            for (int tier = 0; tier < SyntheticData.CLASSES; tier++) {
                String name = "customer-" + customer;
                String className = "class-" + tier;
                metrics.firstToken(name, className, OBSERVED_MILLIS);
                metrics.betweenTokens(name, className, OBSERVED_MILLIS);
                metrics.queueWait(name, className, OBSERVED_MILLIS);
                metrics.total(name, className, OBSERVED_MILLIS);
            }
        }
    }

    /** Observes one token. */
    private static Object observed(GatewayMetrics metrics, String customer) {
        metrics.betweenTokens(customer, "class-3", OBSERVED_MILLIS);
        return metrics;
    }

    /** Writes the metrics in the text format, compressed on demand, and returns their size in bytes. */
    private static int scrape(PrometheusRegistry registry, boolean compress) {
        return new MetricsEndpoint(registry).text(compress).length;
    }
}
