package org.cranberrygauge.decision.engine;

/**
 * What one host knows of a pool's engines. Immutable.
 *
 * @param prefillDemand The number of engines that the prompts of the host's requests keep busy.
 */
public record EngineEstimate(EngineProfile profile, double prefillDemand) {

    /** Assumed of a pool to which the host has sent no request. */
    public static final EngineEstimate INITIAL = new EngineEstimate(EngineProfile.INITIAL, 0);
}
