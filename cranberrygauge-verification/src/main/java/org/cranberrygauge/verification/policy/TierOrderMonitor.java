package org.cranberrygauge.verification.policy;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Observes a simulation independently of the policy and counts violations of the tier order.
 *
 * <p>Not thread-safe.
 */
final class TierOrderMonitor {

    /** The time for which a lower-tier request may continue to run while a higher-tier one is refused. */
    private static final long PREEMPTION_GRACE_MILLIS = 2_000;

    /** The number of preemptions after which a request is no longer preempted. */
    private static final int PREEMPTION_LIMIT = 3;

    /** The time after its deadline by which a request must have its final answer. */
    private static final long ANSWER_MARGIN_MILLIS = 50;

    private final Configuration configuration;

    /** The time of the last start, or the last time nothing waited, by gateway and class. */
    private final Map<GatewayClass, Long> lastStartMillis = new HashMap<>();

    /** The longest time without a start while requests waited, by class. */
    private final Map<String, Long> longestStarvationMillis = new HashMap<>();

    /** The requests refused while a preemptible request of a lower tier ran. */
    private int shedWhileLowerTierRan;

    /** The requests preempted while no request of a higher tier waited. */
    private int needlessPreemptions;

    /** The requests refused too late after their deadline. */
    private int refusedAfterDeadline;

    TierOrderMonitor(Configuration configuration) {
        this.configuration = configuration;
    }

    /** Returns the number of requests refused while a preemptible request of a lower tier ran. */
    int shedWhileLowerTierRan() {
        return shedWhileLowerTierRan;
    }

    /** Returns the number of requests preempted while no request of a higher tier waited. */
    int needlessPreemptions() {
        return needlessPreemptions;
    }

    /** Returns the number of requests refused more than {@link #ANSWER_MARGIN_MILLIS} after their deadline. */
    int refusedAfterDeadline() {
        return refusedAfterDeadline;
    }

    /**
     * Returns the longest time a class waited without a start, as a multiple of its target for the first token; of the
     * worst class.
     */
    double worstStarvation() {
        double worst = 0;
        for (ServiceClass serviceClass : configuration.classes()) {
            long starvedMillis = longestStarvationMillis.getOrDefault(serviceClass.name(), 0L);
            worst = Math.max(worst, (double) starvedMillis / serviceClass.firstTokenTargetMillis());
        }
        return worst;
    }

    void onStart(long nowMillis, String gateway, String className) {
        lastStartMillis.put(new GatewayClass(gateway, className), nowMillis);
    }

    /** Samples how long each class of a gateway has been waiting without a start. */
    void sampleWaiting(long nowMillis, ReplayGateway gateway) {
        for (ServiceClass serviceClass : configuration.classes()) {
            GatewayClass key = new GatewayClass(gateway.name(), serviceClass.name());
            if (gateway.waiting(serviceClass.name()) == 0) {
                lastStartMillis.put(key, nowMillis);
                continue;
            }
            long starvedMillis = nowMillis - lastStartMillis.getOrDefault(key, nowMillis);
            longestStarvationMillis.merge(serviceClass.name(), starvedMillis, Math::max);
        }
    }

    void onRefusal(long nowMillis, ReplayGateway gateway, ReplayedRequest request) {
        long waited = nowMillis - request.trace.arrivalMillis();
        boolean firstTry = request.attempts == 0 && request.callerRetries == 0;
        if (firstTry && waited > request.serviceClass.longestWaitMillis() + ANSWER_MARGIN_MILLIS) {
            refusedAfterDeadline++;
        }
        for (EngineAttempt attempt : gateway.attempts()) {
            boolean lowerTier = attempt.tier() > request.serviceClass.tier()
                    && attempt.request().trace.model().equals(request.trace.model())
                    && request.isChat();
            boolean preemptible = attempt.request().preemptions < PREEMPTION_LIMIT
                    && nowMillis - attempt.startedAtMillis() >= PREEMPTION_GRACE_MILLIS
                    && !attempt.isGuaranteed();
            if (lowerTier && preemptible) {
                shedWhileLowerTierRan++;
                return;
            }
        }
    }

    void onPreemption(ReplayGateway gateway, EngineAttempt attempt) {
        boolean higherTierWaits = configuration.classes().stream()
                .anyMatch(serviceClass ->
                        serviceClass.tier() < attempt.tier() && gateway.waiting(serviceClass.name()) > 0);
        if (!higherTierWaits) {
            needlessPreemptions++;
        }
    }

    /** The key of the waiting times: a class as seen by one gateway. */
    private record GatewayClass(String gateway, String className) {}
}
