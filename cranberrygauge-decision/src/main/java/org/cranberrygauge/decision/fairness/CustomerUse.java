package org.cranberrygauge.decision.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks how much capacity each customer was given recently: by this host, and by the others as they report it.
 *
 * <p>Invariants: usage decays exponentially and is never negative; what a host reported counts until the host has been
 * silent for {@value #VALIDITY_MILLIS} ms; a host's figures are never added to this host's own report. All state may be
 * lost at a restart. Thread-safe.
 */
public final class CustomerUse {

    /** The customer as which all requests without a customer count together. */
    public static final String NO_CUSTOMER = "";

    /** The maximum number of customers in a report. */
    public static final int MAXIMUM_REPORTED = 32;

    /** The time for which the usage that a host reported counts without a further report. */
    static final long VALIDITY_MILLIS = 1_500;

    /**
     * The time in which usage decays to 1/e. It is longer than most requests wait, so that a customer does not regain
     * its turn within one wait, and short enough that a burst does not count against the customer's later requests.
     */
    private static final double DECAY_MILLIS = 5_000;

    /** The usage below which a customer is forgotten. */
    private static final double NEGLIGIBLE = 0.01;

    /** The usage by this host. */
    private final Map<String, Amount> own = new HashMap<>();

    /** The last report of each other host. */
    private final Map<String, Report> reports = new HashMap<>();

    /**
     * Records that a request of a customer was sent to a backend server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param cost The request's cost: its uncached prompt tokens and expected output tokens, or 1 at a plain service.
     */
    public synchronized void record(long nowMillis, String customer, long cost) {
        Amount before = own.get(customer);
        double remaining = before == null ? 0 : before.at(nowMillis);
        own.put(customer, new Amount(remaining + Math.max(0, cost), nowMillis));
    }

    /**
     * Returns the recent usage of a customer in the whole fleet, as far as this host knows.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized double of(long nowMillis, String customer) {
        Amount ownAmount = own.get(customer);
        double sum = ownAmount == null ? 0 : ownAmount.at(nowMillis);
        for (Report report : reports.values()) {
            Long reported = report.use().get(customer);
            if (reported != null && report.isValid(nowMillis)) {
                sum += new Amount(reported, report.atMillis()).at(nowMillis);
            }
        }
        return sum;
    }

    /**
     * Returns the usage by this host of the customers with the most, for the other hosts, and forgets customers
     * without any.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param limit The maximum number of customers.
     */
    public synchronized Map<String, Long> report(long nowMillis, int limit) {
        own.values().removeIf(amount -> amount.at(nowMillis) < NEGLIGIBLE);
        Map<String, Long> most = new LinkedHashMap<>();
        own.entrySet().stream()
                .map(entry ->
                        Map.entry(entry.getKey(), Math.round(entry.getValue().at(nowMillis))))
                .filter(entry -> entry.getValue() > 0)
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(limit)
                .forEach(entry -> most.put(entry.getKey(), entry.getValue()));
        return most;
    }

    /**
     * Replaces what another host reported before. Negative figures and those beyond {@value #MAXIMUM_REPORTED}
     * customers are ignored.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public synchronized void merge(long nowMillis, String host, Map<String, Long> reported) {
        reports.values().removeIf(report -> !report.isValid(nowMillis));
        Map<String, Long> use = new HashMap<>();
        reported.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .limit(MAXIMUM_REPORTED)
                .forEach(entry -> use.put(entry.getKey(), entry.getValue()));
        reports.put(host, new Report(use, nowMillis));
    }

    /** A usage that decays from the monotonic time to which it refers. */
    private record Amount(double cost, long atMillis) {

        double at(long nowMillis) {
            return cost * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
        }
    }

    /** The usage that a host reported, with the monotonic time of its arrival. */
    private record Report(Map<String, Long> use, long atMillis) {

        boolean isValid(long nowMillis) {
            return nowMillis - atMillis < VALIDITY_MILLIS;
        }
    }
}
