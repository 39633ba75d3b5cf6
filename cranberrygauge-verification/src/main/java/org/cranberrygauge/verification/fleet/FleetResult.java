package org.cranberrygauge.verification.fleet;

import java.util.Map;

/**
 * What a run measured.
 *
 * @param attainment The share of tokens that started within the target, by class.
 * @param cost The cost of all servers.
 * @param cheapShare The share of tokens given by cheap servers.
 * @param harmedTokens The tokens of protected classes that missed their target in the ten minutes after an eviction.
 */
public record FleetResult(Map<String, Double> attainment, double cost, double cheapShare, double harmedTokens) {

    /** Copies the map. */
    public FleetResult {
        attainment = Map.copyOf(attainment);
    }

    /**
     * Returns the attainment of the class that fares worst.
     *
     * @return The share.
     */
    public double worstAttainment() {
        return attainment.values().stream()
                .mapToDouble(Double::doubleValue)
                .min()
                .orElse(1);
    }
}
