package org.cranberrygauge.verification.fleet;

import java.util.Map;

/**
 * The result of simulating one planner.
 *
 * @param attainment The share of tokens that started within the target, by class.
 * @param cost The cost of all backend servers over the day.
 * @param cheapShare The share of tokens served by cheap backend servers.
 * @param missedTokens The tokens of protected classes, which are all but the lowest tier, that missed their target in
 *     the ten minutes after an eviction.
 */
public record FleetResult(Map<String, Double> attainment, double cost, double cheapShare, double missedTokens) {

    public FleetResult {
        attainment = Map.copyOf(attainment);
    }

    /** Returns the lowest attainment of all classes. */
    public double worstAttainment() {
        return attainment.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(1);
    }
}
