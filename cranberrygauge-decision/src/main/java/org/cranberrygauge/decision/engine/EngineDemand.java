package org.cranberrygauge.decision.engine;

/**
 * Estimates how many engines of a pool the requests of all hosts require. The estimate rises quickly and falls slowly.
 * Not thread-safe.
 */
public final class EngineDemand {

    /** The fraction of an engine's slots that requests with short prompts may use. */
    private static final double SHORT_REQUEST_SLOT_FRACTION = 0.5;

    /** The smoothing weight of a new measurement below the current estimate. */
    private static final double DECREASE_WEIGHT = 0.05;

    /** The smoothing weight of a new measurement above the current estimate, higher so that the fleet grows quickly. */
    private static final double INCREASE_WEIGHT = 0.3;

    private double engines;

    private boolean measured;

    /**
     * Adds a measurement.
     *
     * @param heldTokens The KV-cache tokens that all running requests occupy.
     * @param shortRequests The number of running requests with short prompts.
     * @param slots The number of requests that an engine runs at once.
     */
    public void update(EngineProfile profile, double heldTokens, double shortRequests, int slots) {
        double current =
                heldTokens / profile.sustainableTokens() + shortRequests / (slots * SHORT_REQUEST_SLOT_FRACTION);
        double weight = current > engines ? INCREASE_WEIGHT : DECREASE_WEIGHT;
        engines = measured ? engines + (current - engines) * weight : current;
        measured = true;
    }

    /** Returns the number of engines required; 0 before the first measurement. */
    public double engines() {
        return engines;
    }
}
