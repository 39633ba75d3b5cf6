package org.cranberrygauge.verification.policy;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.emulator.replay.TraceProfile;

/**
 * What our policy must reach on a profile, stated before the first run.
 *
 * @param highTier The least attainment of the highest chat tier.
 * @param worstCustomer The least attainment of the worst-served customer.
 * @param wasted The largest share of generated tokens that are in no whole answer.
 */
record AcceptanceCriteria(double highTier, double worstCustomer, double wasted) {

    /** The longest wait of a class without a start relative to its bound. */
    private static final double STARVATION_LIMIT = 1.5;

    /**
     * Returns the stated outcome of a profile.
     *
     * @param profile The profile.
     * @return The outcome.
     */
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

    /**
     * Compares a result with the stated outcome and with what holds for every profile.
     *
     * @param result The result.
     * @param highTierClass The highest chat tier.
     * @return What does not hold.
     */
    List<String> misses(ReplayResult result, String highTierClass) {
        List<String> misses = new ArrayList<>();
        double attained = result.attainment().getOrDefault(highTierClass, 0.0);
        if (attained < highTier) {
            misses.add("%s %.3f < %.3f".formatted(highTierClass, attained, highTier));
        }
        if (result.worstCustomerAttainment() < worstCustomer) {
            misses.add("worst customer %.3f < %.3f".formatted(result.worstCustomerAttainment(), worstCustomer));
        }
        if (result.wastedShare() > wasted) {
            misses.add("wasted %.3f > %.3f".formatted(result.wastedShare(), wasted));
        }
        if (result.shedWhileLowerRan() > 0) {
            misses.add(result.shedWhileLowerRan() + " shed while a lower tier ran");
        }
        if (result.preemptedForNothing() > 0) {
            misses.add(result.preemptedForNothing() + " preempted for nothing");
        }
        if (result.heldAfterDeadline() > 0) {
            misses.add(result.heldAfterDeadline() + " held after the deadline");
        }
        if (result.worstStarvation() > STARVATION_LIMIT) {
            misses.add("starved for %.2f of the bound".formatted(result.worstStarvation()));
        }
        if (result.retried() > result.retryLimit()) {
            misses.add("retries %d > %d".formatted(result.retried(), result.retryLimit()));
        }
        return misses;
    }
}
