package org.cranberrygauge.verification.policy;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.emulator.replay.TraceProfile;

/**
 * The acceptance criteria of our policy for a trace profile, fixed before the first run.
 *
 * @param highTier The minimum attainment of the highest chat tier.
 * @param worstCustomer The minimum attainment of the worst-served customer.
 * @param wasted The maximum share of generated tokens that belong to no complete answer.
 */
record AcceptanceCriteria(double highTier, double worstCustomer, double wasted) {

    /** The longest wait of a class without a start, as a multiple of its target for the first token. */
    private static final double STARVATION_LIMIT = 1.5;

    static AcceptanceCriteria of(TraceProfile profile) {
        return switch (profile) {
            case QUIET -> new AcceptanceCriteria(0.99, 0.97, 0.001);
            case HIGH_TIER_BURST -> new AcceptanceCriteria(0.4, 0.3, 0.02);
            case LOW_TIER_BURST -> new AcceptanceCriteria(0.98, 0.4, 0.02);
            case CUSTOMER_FLOOD -> new AcceptanceCriteria(0.5, 0.85, 0.02);
            case HEAVY_TAIL -> new AcceptanceCriteria(0.97, 0.9, 0.01);
            case SHARED_PREFIXES -> new AcceptanceCriteria(0.97, 0.9, 0.01);
            case SLOW_ENGINE -> new AcceptanceCriteria(0.97, 0.9, 0.01);
            case LATE_LOADS -> new AcceptanceCriteria(0.95, 0.85, 0.02);
            case DATA_CENTRE_EVICTION -> new AcceptanceCriteria(0.95, 0.75, 0.02);
            case KEY_CHURN -> new AcceptanceCriteria(0.97, 0.9, 0.05);
            case RETRY_STORM -> new AcceptanceCriteria(0.95, 0.8, 0.02);
            case LOG_OUTAGE -> new AcceptanceCriteria(0.97, 0.6, 0.01);
            case UNEVEN_ARRIVAL -> new AcceptanceCriteria(0.95, 0.8, 0.02);
            case GATEWAY_KILLED -> new AcceptanceCriteria(0.95, 0.85, 0.03);
        };
    }

    /** Returns a description of each criterion that a result misses, including those common to all profiles. */
    List<String> unmetCriteria(ReplayResult result, String highTierClass) {
        List<String> unmetCriteria = new ArrayList<>();
        double attained = result.attainment().getOrDefault(highTierClass, 0.0);
        if (attained < highTier) {
            unmetCriteria.add("%s %.3f < %.3f".formatted(highTierClass, attained, highTier));
        }
        if (result.worstCustomerAttainment() < worstCustomer) {
            unmetCriteria.add("worst customer %.3f < %.3f".formatted(result.worstCustomerAttainment(), worstCustomer));
        }
        if (result.wastedShare() > wasted) {
            unmetCriteria.add("wasted %.3f > %.3f".formatted(result.wastedShare(), wasted));
        }
        if (result.shedWhileLowerTierRan() > 0) {
            unmetCriteria.add(result.shedWhileLowerTierRan() + " shed while a lower tier ran");
        }
        if (result.needlessPreemptions() > 0) {
            unmetCriteria.add(result.needlessPreemptions() + " preempted without a higher tier waiting");
        }
        if (result.refusedAfterDeadline() > 0) {
            unmetCriteria.add(result.refusedAfterDeadline() + " refused late after their deadline");
        }
        if (result.worstStarvation() > STARVATION_LIMIT) {
            unmetCriteria.add("a class starved for %.2f times its target".formatted(result.worstStarvation()));
        }
        if (result.retried() > result.retryLimit()) {
            unmetCriteria.add("retries %d > %d".formatted(result.retried(), result.retryLimit()));
        }
        return unmetCriteria;
    }
}
