package org.cranberrygauge.decision.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * How the speed of each backend server compares with its pool.
 *
 * <p>A ratio is the time that a server takes divided by the time that the pool's median server takes. It combines this
 * host's own observations with the ratios that other hosts report, by their median. A ratio is reduced by the
 * uncertainty of its observations, and a ratio within 35 % of the pool counts as 1, so that servers that are equal
 * are treated alike. Invariants: a ratio is within 0.25 and 8, and 1 for a server without observations; one
 * observation changes a ratio by a bounded factor. Servers are named by their incarnation, so that a restarted one
 * starts at the typical ratio. Not thread-safe.
 */
public final class ServerSpeed {

    /** The bounds of observations and ratios; an observation beyond them says little more about the server. */
    static final double MINIMUM_RATIO = 0.25;

    static final double MAXIMUM_RATIO = 8;

    /**
     * The ratio up to which a server counts as typical. Smaller differences are noise of few observations, and acting on them
     * moves requests away from the engines that cache their prompts.
     */
    static final double TYPICAL_RATIO = 1.35;

    /** The weight of an observation that is slower than the estimate: five requests show half of a slowdown. */
    private static final double RISE_WEIGHT = 0.15;

    /** The weight of an observation that is faster than the estimate. */
    private static final double FALL_WEIGHT = 0.08;

    /** The number of observations after which further ones no longer add certainty. */
    private static final double MAXIMUM_EVIDENCE = 16;

    /** The number of observations at which the estimate and the assumption of typical speed count alike. */
    private static final double PRIOR_EVIDENCE = 1;

    /** The limit on the difference, in natural logarithms, by which one observation moves the estimate. */
    private static final double MAXIMUM_DIFFERENCE = 1;

    /** The time constant in which a ratio without observations fades to 1. */
    private static final double FADE_MILLIS = 5_000;

    /** The age of the last observation up to which a ratio is reported and counts for the pool's median. */
    private static final long FRESH_MILLIS = 5_000;

    /** The time for which computed ratios are used, since a choice must not sort the ratios of a large pool. */
    private static final long REFRESH_MILLIS = 200;

    /** The initial mean deviation of observations from their estimate, in natural logarithms. */
    private static final double INITIAL_SPREAD = 0.4;

    private static final double SPREAD_SMOOTHING = 0.02;

    /** The multiple of the uncertainty that is ignored, so that noise moves little work between equal servers. */
    private static final double IGNORED_UNCERTAINTIES = 1.5;

    private static final int PERCENT = 100;

    private final Map<String, PoolSpeed> pools = new HashMap<>();

    /** The ratios that other hosts report, by server. */
    private Map<String, List<Double>> reported = Map.of();

    /**
     * Records how long a server took for something that this host predicted.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param server The incarnation of the server.
     */
    public void record(long nowMillis, String pool, String server, double observedMillis, double predictedMillis) {
        if (observedMillis <= 0 || predictedMillis <= 0) {
            return;
        }
        pools.computeIfAbsent(pool, name -> new PoolSpeed())
                .record(nowMillis, server, Math.log(bounded(observedMillis / predictedMillis)));
    }

    /**
     * Sets the ratios that the other hosts report, in place of the previous ones.
     *
     * @param ratios The ratios by the incarnation of the server, one for each host that reports it.
     */
    public void setReported(Map<String, List<Double>> ratios) {
        reported = ratios;
    }

    /**
     * Returns the factor on predicted times of a server.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param server The incarnation of the server.
     */
    public double ratio(long nowMillis, String pool, String server) {
        return pools.computeIfAbsent(pool, name -> new PoolSpeed()).ratio(nowMillis, server, reported);
    }

    /**
     * Returns this host's own ratios in percent for its report to the others, without theirs. Servers that were
     * observed to be typical are included where there is room, since without them the median of the hosts would
     * consist only of those that find a server slow or fast.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param limit The maximum number of servers; those that differ most are included first.
     */
    public Map<String, Integer> report(long nowMillis, int limit) {
        Map<String, Double> own = new HashMap<>();
        pools.values().forEach(pool -> pool.addOwn(nowMillis, own));
        Map<String, Integer> report = new LinkedHashMap<>();
        own.entrySet().stream()
                .sorted(Comparator.comparingDouble((Map.Entry<String, Double> entry) -> -Math.abs(entry.getValue()))
                        .thenComparing(Map.Entry::getKey))
                .limit(limit)
                .forEach(entry -> report.put(entry.getKey(), (int)
                        Math.round(PERCENT * withoutTypical(bounded(Math.exp(entry.getValue()))))));
        return report;
    }

    /** Removes the servers that are no longer listed. */
    public void retain(Predicate<String> listed) {
        for (PoolSpeed pool : pools.values()) {
            pool.estimates.keySet().removeIf(listed.negate());
            pool.ratios.keySet().removeIf(listed.negate());
        }
    }

    private static double bounded(double ratio) {
        return Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, ratio));
    }

    /** Replaces a ratio close to the pool by 1. */
    private static double withoutTypical(double ratio) {
        return ratio <= TYPICAL_RATIO && ratio >= 1 / TYPICAL_RATIO ? 1 : ratio;
    }

    /** The estimates for the servers of one pool. */
    private static final class PoolSpeed {

        private final Map<String, Estimate> estimates = new HashMap<>();

        private final Map<String, Double> ratios = new HashMap<>();

        /** The reports that the computed ratios are based on. */
        private Map<String, List<Double>> basis = Map.of();

        private double spread = INITIAL_SPREAD;

        /** The median of the estimates, as a natural logarithm. */
        private double typical;

        private long computedAtMillis = Long.MIN_VALUE / 2;

        private void record(long nowMillis, String server, double logarithm) {
            Estimate estimate = estimates.get(server);
            if (estimate == null) {
                estimate = new Estimate();
                estimates.put(server, estimate);
            } else {
                double deviation = Math.min(MAXIMUM_DIFFERENCE, Math.abs(logarithm - estimate.logarithm));
                spread += SPREAD_SMOOTHING * (deviation - spread);
            }
            estimate.record(nowMillis, logarithm, typical);
        }

        private double ratio(long nowMillis, String server, Map<String, List<Double>> reported) {
            if (nowMillis - computedAtMillis >= REFRESH_MILLIS || basis != reported) {
                computedAtMillis = nowMillis;
                basis = reported;
                ratios.clear();
                updateTypical(nowMillis);
            }
            Double known = ratios.get(server);
            if (known == null) {
                known = compute(nowMillis, server);
                ratios.put(server, known);
            }
            return known;
        }

        private void updateTypical(long nowMillis) {
            List<Double> fresh = new ArrayList<>();
            for (Estimate estimate : estimates.values()) {
                if (estimate.isFresh(nowMillis)) {
                    fresh.add(estimate.logarithm);
                }
            }
            if (!fresh.isEmpty()) {
                typical = Medians.of(fresh);
            }
        }

        /** Combines the own estimate with the reports, and reduces the result by its uncertainty. */
        private double compute(long nowMillis, String server) {
            List<Double> values = new ArrayList<>();
            double evidence = 0;
            for (double ratio : basis.getOrDefault(server, List.of())) {
                values.add(Math.log(bounded(ratio)));
                evidence++;
            }
            Estimate estimate = estimates.get(server);
            if (estimate != null) {
                values.add((estimate.logarithm - typical) * estimate.freshness(nowMillis));
                evidence += estimate.evidence * estimate.freshness(nowMillis);
            }
            if (values.isEmpty() || evidence <= 0) {
                return 1;
            }
            double median = Medians.of(values);
            if (withoutTypical(Math.exp(median)) == 1) {
                return 1;
            }
            double certain = Math.max(0, Math.abs(median) - IGNORED_UNCERTAINTIES * spread / Math.sqrt(evidence));
            double reduced = Math.copySign(certain * evidence / (evidence + PRIOR_EVIDENCE), median);
            return bounded(Math.exp(reduced));
        }

        private void addOwn(long nowMillis, Map<String, Double> own) {
            updateTypical(nowMillis);
            estimates.forEach((server, estimate) -> {
                if (estimate.isFresh(nowMillis)) {
                    own.put(server, (estimate.logarithm - typical) * estimate.freshness(nowMillis));
                }
            });
        }
    }

    /** The estimate for one server, as the natural logarithm of observed by predicted time. */
    private static final class Estimate {

        private double logarithm;

        /** The number of observations that the estimate is based on, up to a maximum. */
        private double evidence;

        private long lastMillis;

        private void record(long nowMillis, double observed, double typical) {
            if (evidence > 0) {
                double freshness = freshness(nowMillis);
                logarithm = typical + (logarithm - typical) * freshness;
                evidence *= freshness;
                double difference = Math.max(-MAXIMUM_DIFFERENCE, Math.min(MAXIMUM_DIFFERENCE, observed - logarithm));
                logarithm += difference * Math.max(1 / (evidence + 1), difference > 0 ? RISE_WEIGHT : FALL_WEIGHT);
            } else {
                logarithm = observed;
            }
            evidence = Math.min(MAXIMUM_EVIDENCE, evidence + 1);
            lastMillis = nowMillis;
        }

        private boolean isFresh(long nowMillis) {
            return nowMillis - lastMillis < FRESH_MILLIS;
        }

        /** Returns a factor that falls from 1 to 0 with the time since the last observation. */
        private double freshness(long nowMillis) {
            return Math.exp(-Math.max(0, nowMillis - lastMillis) / FADE_MILLIS);
        }
    }
}
