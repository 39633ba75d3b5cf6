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
 * How many requests met the target of their class, taken from the histograms of gateways.
 *
 * <p>Invariants: a request counts as in time only if it lies in a bucket that ends at or below the target, so that the
 * share is a lower bound. The time to the first token counts for streams of a model; the time of the whole request counts
 * for classes without first tokens. Used by one thread.
 */
public final class Attainment {

    /** One bucket of a histogram. */
    private static final Pattern BUCKET = Pattern.compile("cranberrygauge_(first_token|request)_seconds_bucket\\{"
            + "class=\"([^\"]*)\",customer=\"([^\"]*)\",le=\"([^\"]*)\"} (\\S+)");

    /** The name of the histogram of first tokens. */
    private static final String FIRST_TOKEN = "first_token";

    /** The name of the histogram of whole requests. */
    private static final String REQUEST = "request";

    /** The bucket that holds all. */
    private static final String ALL = "+Inf";

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The configuration. */
    private final Configuration configuration;

    /** The counts by series, summed over gateways. */
    private final Map<Series, Counts> counts = new HashMap<>();

    /**
     * Creates an empty view.
     *
     * @param configuration The configuration.
     */
    private Attainment(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Reads the metrics of gateways.
     *
     * @param configuration The configuration.
     * @param metrics The text of each gateway's metrics.
     * @return The view.
     */
    public static Attainment of(Configuration configuration, Collection<String> metrics) {
        Attainment attainment = new Attainment(configuration);
        metrics.forEach(attainment::add);
        return attainment;
    }

    /**
     * Returns the counts of a class.
     *
     * @param className The class.
     * @return The counts of all its customers.
     */
    public Counts ofClass(String className) {
        return customers(className).values().stream().reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Returns the counts by customer over all classes.
     *
     * @return The counts of each customer with at least one request.
     */
    public Map<String, Counts> byCustomer() {
        Map<String, Counts> all = new TreeMap<>();
        for (ServiceClass serviceClass : configuration.classes()) {
            customers(serviceClass.name()).forEach((name, part) -> all.merge(name, part, Counts::plus));
        }
        all.values().removeIf(part -> part.total() == 0);
        return all;
    }

    /**
     * Returns the counts of a class by customer, from the histogram that fits the class.
     *
     * @param className The class.
     * @return The counts by customer.
     */
    private Map<String, Counts> customers(String className) {
        Map<String, Counts> streams = customers(FIRST_TOKEN, className);
        return streams.isEmpty() ? customers(REQUEST, className) : streams;
    }

    /**
     * Returns the counts of a class by customer, from one histogram.
     *
     * @param histogram The histogram.
     * @param className The class.
     * @return The counts by customer.
     */
    private Map<String, Counts> customers(String histogram, String className) {
        Map<String, Counts> customers = new TreeMap<>();
        counts.forEach((series, part) -> {
            if (series.histogram().equals(histogram) && series.className().equals(className) && part.total() > 0) {
                customers.merge(series.customer(), part, Counts::plus);
            }
        });
        return customers;
    }

    /**
     * Adds the metrics of one gateway.
     *
     * @param text The metrics.
     */
    private void add(String text) {
        Map<Series, Counts> gateway = new HashMap<>();
        text.lines().map(BUCKET::matcher).filter(Matcher::matches).forEach(bucket -> {
            Series series = new Series(bucket.group(1), bucket.group(2), bucket.group(3));
            gateway.merge(series, bucketOf(series, bucket), Counts::maximum);
        });
        gateway.forEach((series, part) -> counts.merge(series, part, Counts::plus));
    }

    /**
     * Reads one bucket.
     *
     * @param series The series.
     * @param bucket The matched line.
     * @return The count, as in time, as total, or as nothing.
     */
    private Counts bucketOf(Series series, Matcher bucket) {
        long value = (long) Double.parseDouble(bucket.group(5));
        if (bucket.group(4).equals(ALL)) {
            return new Counts(0, value);
        }
        double targetSeconds = configuration
                .serviceClass(series.className())
                .map(found -> found.firstTokenTargetMillis() / MILLIS_PER_SECOND)
                .orElse(0.0);
        return Double.parseDouble(bucket.group(4)) <= targetSeconds ? new Counts(value, 0) : Counts.NONE;
    }

    /**
     * A series of buckets.
     *
     * @param histogram The histogram.
     * @param className The class.
     * @param customer The customer.
     */
    private record Series(String histogram, String className, String customer) {}

    /**
     * Counted requests.
     *
     * @param inTime The requests that surely met the target.
     * @param total All requests.
     */
    public record Counts(long inTime, long total) {

        /** No requests. */
        static final Counts NONE = new Counts(0, 0);

        /** The number of hundredths in a whole. */
        private static final double PERCENT = 100;

        /**
         * Adds counts.
         *
         * @param other The other counts.
         * @return The sum.
         */
        Counts plus(Counts other) {
            return new Counts(inTime + other.inTime, total + other.total);
        }

        /**
         * Takes the greater of each count, since the buckets of a series are cumulative.
         *
         * @param other The other counts.
         * @return The greater counts.
         */
        Counts maximum(Counts other) {
            return new Counts(Math.max(inTime, other.inTime), Math.max(total, other.total));
        }

        /**
         * Returns the share that met the target.
         *
         * @return The share in percent; 100 where there was no request.
         */
        public double percent() {
            return total == 0 ? PERCENT : PERCENT * inTime / total;
        }
    }
}
