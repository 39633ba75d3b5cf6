package org.cranberrygauge.verification.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.cranberrygauge.emulator.replay.ProfileGenerator;
import org.cranberrygauge.emulator.replay.Trace;
import org.cranberrygauge.emulator.replay.TraceProfile;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;

/**
 * The figures of one replay.
 *
 * @param attainment The share of requests that met the targets, by class.
 * @param worstCustomer The customer with the lowest attainment over all its requests, but for one that floods.
 * @param worstCustomerAttainment The attainment of that customer.
 * @param worstFairShare The lowest ratio of the tokens a customer got to the lesser of what it asked for and its fair
 *     share.
 * @param goodTokensPerSecond The output tokens of answers that met their targets, a second.
 * @param wastedShare The share of generated tokens that are in no whole answer.
 * @param prefilledShare The share of the prompt tokens of all attempts that engines read because they were not cached.
 * @param costPerThousandGood The cost of engines for a thousand answers that met their targets.
 * @param refused The number of refused requests.
 * @param failed The number of failed requests.
 * @param preempted The number of preemptions.
 * @param retried The number of retries by gateways.
 * @param retryLimit The most retries that the budgets allow.
 * @param shedWhileLowerRan The requests refused while a lower tier ran that could have given way.
 * @param preemptedForNothing The requests preempted while nothing of a higher tier waited.
 * @param heldAfterDeadline The requests held after their deadline.
 * @param worstStarvation The longest wait of a class without a start relative to its bound.
 * @param goodBySecond The attainment of the highest chat tier in each five seconds of the trace.
 */
record ReplayResult(
        Map<String, Double> attainment,
        String worstCustomer,
        double worstCustomerAttainment,
        double worstFairShare,
        double goodTokensPerSecond,
        double wastedShare,
        double prefilledShare,
        double costPerThousandGood,
        long refused,
        long failed,
        long preempted,
        long retried,
        long retryLimit,
        int shedWhileLowerRan,
        int preemptedForNothing,
        int heldAfterDeadline,
        double worstStarvation,
        Map<Integer, Double> goodBySecond) {

    /** The cost of one engine for an hour. */
    private static final double COST_PER_HOUR = 3.2;

    /** The number of milliseconds in an hour. */
    private static final double MILLIS_PER_HOUR = 3_600_000;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The length of a part of the curve over time in milliseconds. */
    private static final long PART_MILLIS = 5_000;

    /** The retries that each gateway may save. */
    private static final long RETRY_BURST = 20;

    /** The share of successes that may be retried. */
    private static final double RETRY_SHARE = 0.1;

    /** The requests that a customer needs to be judged. */
    private static final int CUSTOMER_REQUESTS = 20;

    /**
     * Computes the figures.
     *
     * @param configuration The configuration.
     * @param trace The trace.
     * @param requests The requests.
     * @param engines The engines.
     * @param gateways The gateways.
     * @param check What was seen of the order of tiers.
     * @return The figures.
     */
    static ReplayResult of(
            Configuration configuration,
            Trace trace,
            List<ReplayedRequest> requests,
            List<SimulatedEngine> engines,
            List<ReplayGateway> gateways,
            TierOrderMonitor check) {
        Map<String, Double> byCustomer = attainment(requests, request -> request.trace.customer(), CUSTOMER_REQUESTS);
        String flooding = trace.profile() == TraceProfile.CUSTOMER_FLOOD
                ? new ProfileGenerator(configuration).flooding().name()
                : "";
        byCustomer.remove(flooding);
        Map.Entry<String, Double> worst =
                byCustomer.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
        List<ReplayedRequest> good =
                requests.stream().filter(ReplayedRequest::isGood).toList();
        long goodTokens = good.stream().mapToLong(request -> request.delivered).sum();
        long answered = requests.stream()
                .filter(request ->
                        request.end == ReplayedRequest.End.ANSWERED || request.end == ReplayedRequest.End.RUNNING)
                .mapToLong(request -> request.delivered)
                .sum();
        long generated =
                engines.stream().mapToLong(SimulatedEngine::generatedTokens).sum();
        long prefilled =
                engines.stream().mapToLong(SimulatedEngine::prefilledTokens).sum();
        long prompts = requests.stream()
                .filter(ReplayedRequest::isChat)
                .mapToLong(request -> (long) request.attempts * request.trace.promptTokens())
                .sum();
        long models = engines.stream()
                .filter(engine -> engine.server().kind() == BackendKind.MODEL)
                .count();
        double cost = models * COST_PER_HOUR * trace.durationMillis() / MILLIS_PER_HOUR;
        long successes = gateways.stream().mapToLong(ReplayGateway::successes).sum();
        String highest = requests.stream()
                .filter(ReplayedRequest::isChat)
                .min((one, other) -> Integer.compare(one.serviceClass.tier(), other.serviceClass.tier()))
                .orElseThrow()
                .serviceClass
                .name();
        return new ReplayResult(
                attainment(requests, request -> request.trace.className(), 1),
                worst.getKey(),
                worst.getValue(),
                worstFairShare(configuration, requests),
                goodTokens / (trace.durationMillis() / MILLIS_PER_SECOND),
                generated == 0 ? 0 : Math.max(0, (double) (generated - answered) / generated),
                (double) prefilled / Math.max(1, prompts),
                cost
                        * MILLIS_PER_SECOND
                        / Math.max(
                                1, good.stream().filter(ReplayedRequest::isChat).count()),
                count(requests, ReplayedRequest.End.REFUSED),
                count(requests, ReplayedRequest.End.FAILED),
                requests.stream().mapToLong(request -> request.preemptions).sum(),
                gateways.stream().mapToLong(ReplayGateway::retried).sum(),
                (long) (RETRY_SHARE * successes) + RETRY_BURST * gateways.size(),
                check.shedWhileLowerRan(),
                check.preemptedForNothing(),
                check.heldAfterDeadline(),
                check.worstStarvation(),
                overTime(requests, highest));
    }

    /**
     * Counts the requests with an end.
     *
     * @param requests The requests.
     * @param end The end.
     * @return The number.
     */
    private static long count(List<ReplayedRequest> requests, ReplayedRequest.End end) {
        return requests.stream().filter(request -> request.end == end).count();
    }

    /**
     * Computes attainment by a label.
     *
     * @param requests The requests.
     * @param label Returns the label of a request.
     * @param minimum The requests that a label needs to be judged.
     * @return The shares by label.
     */
    private static Map<String, Double> attainment(
            List<ReplayedRequest> requests, Function<ReplayedRequest, String> label, int minimum) {
        Map<String, int[]> counts = new TreeMap<>();
        for (ReplayedRequest request : requests) {
            if (request.counts()) {
                int[] count = counts.computeIfAbsent(label.apply(request), name -> new int[2]);
                count[0]++;
                count[1] += request.isGood() ? 1 : 0;
            }
        }
        Map<String, Double> shares = new TreeMap<>();
        counts.forEach((name, count) -> {
            if (count[0] >= minimum) {
                shares.put(name, (double) count[1] / count[0]);
            }
        });
        return shares;
    }

    /**
     * Computes what the worst-served customer got of what it could claim.
     *
     * @param configuration The configuration.
     * @param requests The requests.
     * @return The lowest ratio of the tokens got to the lesser of the tokens asked for and the fair share.
     */
    private static double worstFairShare(Configuration configuration, List<ReplayedRequest> requests) {
        Map<String, Double> asked = new HashMap<>();
        Map<String, Double> got = new HashMap<>();
        double total = 0;
        for (ReplayedRequest request : requests) {
            if (!request.isChat() || !request.counts()) {
                continue;
            }
            asked.merge(request.trace.customer(), (double) request.trace.outputTokens(), Double::sum);
            if (request.end == ReplayedRequest.End.ANSWERED) {
                got.merge(request.trace.customer(), (double) request.delivered, Double::sum);
                total += request.delivered;
            }
        }
        int weights =
                configuration.customers().stream().mapToInt(Customer::weight).sum();
        double worst = 1;
        for (Customer customer : configuration.customers()) {
            double claim = Math.min(asked.getOrDefault(customer.name(), 0.0), total * customer.weight() / weights);
            if (claim > 0) {
                worst = Math.min(worst, got.getOrDefault(customer.name(), 0.0) / claim);
            }
        }
        return worst;
    }

    /**
     * Computes the attainment of a class over time.
     *
     * @param requests The requests.
     * @param className The class.
     * @return The attainment by second.
     */
    private static Map<Integer, Double> overTime(List<ReplayedRequest> requests, String className) {
        Map<Integer, int[]> counts = new TreeMap<>();
        for (ReplayedRequest request : requests) {
            if (request.counts() && request.serviceClass.name().equals(className)) {
                int part = (int) (request.trace.arrivalMillis() / PART_MILLIS * PART_MILLIS / MILLIS_PER_SECOND);
                int[] count = counts.computeIfAbsent(part, second -> new int[2]);
                count[0]++;
                count[1] += request.isGood() ? 1 : 0;
            }
        }
        Map<Integer, Double> shares = new TreeMap<>();
        counts.forEach((second, count) -> shares.put(second, (double) count[1] / count[0]));
        return shares;
    }
}
