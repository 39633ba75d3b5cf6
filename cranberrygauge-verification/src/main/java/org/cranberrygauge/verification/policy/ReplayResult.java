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
 * The results of one simulation.
 *
 * @param attainment The share of requests that met their targets, by class.
 * @param worstCustomer The customer with the lowest attainment over all its requests, except one that floods the
 *     gateways.
 * @param worstFairShare The lowest ratio, over customers, of tokens delivered to the lesser of tokens requested and
 *     the fair share.
 * @param goodTokensPerSecond The output tokens per second of answers that met their targets.
 * @param wastedShare The share of generated tokens that belong to no complete answer.
 * @param prefilledShare The share of the prompt tokens of all attempts that engines processed because they were not
 *     cached.
 * @param costPerThousandGood The cost of engines per thousand answers that met their targets.
 * @param retried The number of retries by gateways.
 * @param retryLimit The maximum number of retries that the budgets allow.
 * @param shedWhileLowerTierRan The requests refused while a preemptible request of a lower tier ran.
 * @param needlessPreemptions The requests preempted while no request of a higher tier waited.
 * @param refusedAfterDeadline The requests refused too late after their deadline.
 * @param worstStarvation The longest wait of a class without a start, as a multiple of its target for the first token.
 * @param goodBySecond The attainment of the highest chat tier by the start of each interval of five seconds.
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
        int shedWhileLowerTierRan,
        int needlessPreemptions,
        int refusedAfterDeadline,
        double worstStarvation,
        Map<Integer, Double> goodBySecond) {

    /** The cost of one engine per hour. */
    private static final double COST_PER_HOUR = 3.2;

    private static final double MILLIS_PER_HOUR = 3_600_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The length of an interval of the curve over time. */
    private static final long INTERVAL_MILLIS = 5_000;

    /** The maximum number of retries that the budget of a gateway accumulates. */
    private static final long RETRY_BURST = 20;

    /** The retry budget as a share of successes. */
    private static final double RETRY_SHARE = 0.1;

    /** The minimum number of requests of a customer whose attainment is counted. */
    private static final int MINIMUM_CUSTOMER_REQUESTS = 20;

    /** Computes the results of a finished simulation. */
    static ReplayResult of(
            Configuration configuration,
            Trace trace,
            List<ReplayedRequest> requests,
            List<SimulatedEngine> engines,
            List<ReplayGateway> gateways,
            TierOrderMonitor monitor) {
        Map<String, Double> byCustomer =
                attainment(requests, request -> request.trace.customer(), MINIMUM_CUSTOMER_REQUESTS);
        String floodingCustomer = trace.profile() == TraceProfile.CUSTOMER_FLOOD
                ? new ProfileGenerator(configuration).floodingCustomer().name()
                : "";
        byCustomer.remove(floodingCustomer);
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
        long engineCount = engines.stream()
                .filter(engine -> engine.server().kind() == BackendKind.MODEL)
                .count();
        double cost = engineCount * COST_PER_HOUR * trace.durationMillis() / MILLIS_PER_HOUR;
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
                monitor.shedWhileLowerTierRan(),
                monitor.needlessPreemptions(),
                monitor.refusedAfterDeadline(),
                monitor.worstStarvation(),
                overTime(requests, highest));
    }

    private static long count(List<ReplayedRequest> requests, ReplayedRequest.End end) {
        return requests.stream().filter(request -> request.end == end).count();
    }

    /** Computes attainment per label, leaving out labels with fewer requests than the minimum. */
    private static Map<String, Double> attainment(
            List<ReplayedRequest> requests, Function<ReplayedRequest, String> label, int minimum) {
        Map<String, int[]> counts = new TreeMap<>();
        for (ReplayedRequest request : requests) {
            if (request.countsTowardsAttainment()) {
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
     * Returns the lowest ratio, over customers, of tokens delivered to the lesser of tokens requested and the fair
     * share.
     */
    private static double worstFairShare(Configuration configuration, List<ReplayedRequest> requests) {
        Map<String, Double> requested = new HashMap<>();
        Map<String, Double> delivered = new HashMap<>();
        double total = 0;
        for (ReplayedRequest request : requests) {
            if (!request.isChat() || !request.countsTowardsAttainment()) {
                continue;
            }
            requested.merge(request.trace.customer(), (double) request.trace.outputTokens(), Double::sum);
            if (request.end == ReplayedRequest.End.ANSWERED) {
                delivered.merge(request.trace.customer(), (double) request.delivered, Double::sum);
                total += request.delivered;
            }
        }
        int weights =
                configuration.customers().stream().mapToInt(Customer::weight).sum();
        double worst = 1;
        for (Customer customer : configuration.customers()) {
            double entitlement =
                    Math.min(requested.getOrDefault(customer.name(), 0.0), total * customer.weight() / weights);
            if (entitlement > 0) {
                worst = Math.min(worst, delivered.getOrDefault(customer.name(), 0.0) / entitlement);
            }
        }
        return worst;
    }

    /** Computes the attainment of a class by the start of each interval, in seconds. */
    private static Map<Integer, Double> overTime(List<ReplayedRequest> requests, String className) {
        Map<Integer, int[]> counts = new TreeMap<>();
        for (ReplayedRequest request : requests) {
            if (request.countsTowardsAttainment() && request.serviceClass.name().equals(className)) {
                int interval =
                        (int) (request.trace.arrivalMillis() / INTERVAL_MILLIS * INTERVAL_MILLIS / MILLIS_PER_SECOND);
                int[] count = counts.computeIfAbsent(interval, second -> new int[2]);
                count[0]++;
                count[1] += request.isGood() ? 1 : 0;
            }
        }
        Map<Integer, Double> shares = new TreeMap<>();
        counts.forEach((second, count) -> shares.put(second, (double) count[1] / count[0]));
        return shares;
    }
}
