package org.cranberrygauge.verification.policy;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Watches a replay from outside for breaches of the order of tiers.
 *
 * <p>Used by one thread.
 */
final class TierOrderMonitor {

    /** The time for which a lower-tier request may run on while a higher one is refused in milliseconds. */
    private static final long GRACE_MILLIS = 2_000;

    /** The number of preemptions after which a request runs to its end. */
    private static final int PREEMPTION_LIMIT = 3;

    /** The time after its deadline at which a request must have its final answer in milliseconds. */
    private static final long ANSWER_MILLIS = 50;

    /** The configuration. */
    private final Configuration configuration;

    /** The last start, or the end of idleness, by gateway and class in milliseconds. */
    private final Map<GatewayClass, Long> servedAtMillis = new HashMap<>();

    /** The longest time without a start while something waited, by class in milliseconds. */
    private final Map<String, Long> longestGapMillis = new HashMap<>();

    /** The higher-tier requests refused while a lower one ran that could have given way. */
    private int shedWhileLowerRan;

    /** The requests that were preempted while nothing of a higher tier waited. */
    private int preemptedForNothing;

    /** The requests that were answered late after their deadline. */
    private int heldAfterDeadline;

    /**
     * Creates a check.
     *
     * @param configuration The configuration.
     */
    TierOrderMonitor(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the higher-tier requests refused while a lower one ran that could have given way.
     *
     * @return The number.
     */
    int shedWhileLowerRan() {
        return shedWhileLowerRan;
    }

    /**
     * Returns the requests that were preempted while nothing of a higher tier waited.
     *
     * @return The number.
     */
    int preemptedForNothing() {
        return preemptedForNothing;
    }

    /**
     * Returns the requests that were held after their deadline.
     *
     * @return The number.
     */
    int heldAfterDeadline() {
        return heldAfterDeadline;
    }

    /**
     * Returns the longest time for which a class waited without a start relative to its bound.
     *
     * @return The time divided by the target for the first token, of the worst class.
     */
    double worstStarvation() {
        double worst = 0;
        for (ServiceClass serviceClass : configuration.classes()) {
            long gap = longestGapMillis.getOrDefault(serviceClass.name(), 0L);
            worst = Math.max(worst, (double) gap / serviceClass.firstTokenTargetMillis());
        }
        return worst;
    }

    /**
     * Notes a start.
     *
     * @param nowMillis The present time in milliseconds.
     * @param gateway The gateway.
     * @param className The class of the request.
     */
    void started(long nowMillis, String gateway, String className) {
        servedAtMillis.put(new GatewayClass(gateway, className), nowMillis);
    }

    /**
     * Looks at the waiting classes of a gateway.
     *
     * @param nowMillis The present time in milliseconds.
     * @param gateway The gateway.
     */
    void look(long nowMillis, ReplayGateway gateway) {
        for (ServiceClass serviceClass : configuration.classes()) {
            GatewayClass key = new GatewayClass(gateway.name(), serviceClass.name());
            if (gateway.waiting(serviceClass.name()) == 0) {
                servedAtMillis.put(key, nowMillis);
                continue;
            }
            long gap = nowMillis - servedAtMillis.getOrDefault(key, nowMillis);
            longestGapMillis.merge(serviceClass.name(), gap, Math::max);
        }
    }

    /**
     * Looks at a refusal.
     *
     * @param nowMillis The present time in milliseconds.
     * @param gateway The gateway that refuses.
     * @param request The refused request.
     */
    void refused(long nowMillis, ReplayGateway gateway, ReplayedRequest request) {
        long waited = nowMillis - request.trace.arrivalMillis();
        boolean first = request.attempts == 0 && request.callerRetries == 0;
        if (first && waited > request.serviceClass.longestWaitMillis() + ANSWER_MILLIS) {
            heldAfterDeadline++;
        }
        for (EngineAttempt attempt : gateway.attempts()) {
            boolean lower = attempt.tier() > request.serviceClass.tier()
                    && attempt.request().trace.model().equals(request.trace.model())
                    && request.isChat();
            boolean couldGiveWay = attempt.request().preemptions < PREEMPTION_LIMIT
                    && nowMillis - attempt.startedAtMillis() >= GRACE_MILLIS
                    && !attempt.isOwed();
            if (lower && couldGiveWay) {
                shedWhileLowerRan++;
                return;
            }
        }
    }

    /**
     * Looks at a preemption.
     *
     * @param gateway The gateway that preempts.
     * @param attempt The attempt that is stopped.
     */
    void preempted(ReplayGateway gateway, EngineAttempt attempt) {
        boolean higherWaits = configuration.classes().stream()
                .anyMatch(serviceClass ->
                        serviceClass.tier() < attempt.tier() && gateway.waiting(serviceClass.name()) > 0);
        if (!higherWaits) {
            preemptedForNothing++;
        }
    }

    /**
     * A class at a gateway.
     *
     * @param gateway The gateway.
     * @param className The class.
     */
    private record GatewayClass(String gateway, String className) {}
}
