package org.cranberrygauge.operator.view;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The share of requests that met the target of their class, computed from the histograms of gateways.
 *
 * <p>Invariants: a request counts as in time only if it lies in a bucket that ends at or below the target, so that the
 * share is a lower bound. Classes with streams are measured by the time to the first token, other classes by the time
 * of the whole request. Used by one thread.
 */
public final class Attainment {

    /** Matches one bucket of a histogram. */
    private static final Pattern BUCKET = Pattern.compile("cranberrygauge_(first_token|request)_seconds_bucket\\{"
            + "class=\"([^\"]*)\",customer=\"([^\"]*)\",le=\"([^\"]*)\"} (\\S+)");

    private static final String FIRST_TOKEN = "first_token";

    private static final String REQUEST = "request";

    /** The upper bound of the bucket that holds all requests. */
    private static final String INFINITY = "+Inf";

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Configuration configuration;

    /** The counts of each series, summed over gateways. */
    private final Map<Series, Counts> counts = new HashMap<>();

    private Attainment(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Reads the metrics of gateways.
     *
     * @param metrics The metrics of each gateway in text format.
     */
    public static Attainment of(Configuration configuration, Collection<String> metrics) {
        Attainment attainment = new Attainment(configuration);
        metrics.forEach(attainment::addGateway);
        return attainment;
    }

    /** Returns the counts of a class, summed over its customers. */
    public Counts ofClass(String className) {
        return countsByCustomer(className).values().stream().reduce(Counts.NONE, Counts::plus);
    }

    /** Returns the counts of each customer with at least one request, summed over classes. */
    public Map<String, Counts> byCustomer() {
        Map<String, Counts> all = new TreeMap<>();
        for (ServiceClass serviceClass : configuration.classes()) {
            countsByCustomer(serviceClass.name()).forEach((name, part) -> all.merge(name, part, Counts::plus));
        }
        all.values().removeIf(part -> part.total() == 0);
        return all;
    }

    /** Returns the counts of a class by customer, from the first-token histogram if it has entries for the class. */
    private Map<String, Counts> countsByCustomer(String className) {
        Map<String, Counts> streams = countsByCustomer(FIRST_TOKEN, className);
        return streams.isEmpty() ? countsByCustomer(REQUEST, className) : streams;
    }

    private Map<String, Counts> countsByCustomer(String histogram, String className) {
        Map<String, Counts> customers = new TreeMap<>();
        counts.forEach((series, part) -> {
            if (series.histogram().equals(histogram) && series.className().equals(className) && part.total() > 0) {
                customers.merge(series.customer(), part, Counts::plus);
            }
        });
        return customers;
    }

    private void addGateway(String text) {
        Map<Series, Counts> gateway = new HashMap<>();
        text.lines().map(BUCKET::matcher).filter(Matcher::matches).forEach(bucket -> {
            Series series = new Series(bucket.group(1), bucket.group(2), bucket.group(3));
            gateway.merge(series, countsOf(series, bucket), Counts::maximum);
        });
        gateway.forEach((series, part) -> counts.merge(series, part, Counts::plus));
    }

    /** Converts a bucket to counts: the infinite bucket to a total, a bucket within the target to requests in time. */
    private Counts countsOf(Series series, Matcher bucket) {
        long value = (long) Double.parseDouble(bucket.group(5));
        if (bucket.group(4).equals(INFINITY)) {
            return new Counts(0, value);
        }
        double targetSeconds = configuration
                .serviceClass(series.className())
                .map(found -> found.firstTokenTargetMillis() / MILLIS_PER_SECOND)
                .orElse(0.0);
        return Double.parseDouble(bucket.group(4)) <= targetSeconds ? new Counts(value, 0) : Counts.NONE;
    }

    /** Identifies the buckets of one histogram for one class and customer. */
    private record Series(String histogram, String className, String customer) {}

    /**
     * Counted requests.
     *
     * @param inTime The number of requests that certainly met the target.
     * @param total The number of all requests.
     */
    public record Counts(long inTime, long total) {

        static final Counts NONE = new Counts(0, 0);

        private static final double PERCENT_PER_WHOLE = 100;

        Counts plus(Counts other) {
            return new Counts(inTime + other.inTime, total + other.total);
        }

        /** Takes the greater of each count, since the buckets of a series are cumulative. */
        Counts maximum(Counts other) {
            return new Counts(Math.max(inTime, other.inTime), Math.max(total, other.total));
        }

        /** Returns the share that met the target in percent; 100 if there was no request. */
        public double percent() {
            return total == 0 ? PERCENT_PER_WHOLE : PERCENT_PER_WHOLE * inTime / total;
        }
    }
}
