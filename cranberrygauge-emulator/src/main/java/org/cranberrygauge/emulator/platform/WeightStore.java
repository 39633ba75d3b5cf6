package org.cranberrygauge.emulator.platform;

/**
 * Store of model weights that loads one model at a time.
 *
 * <p>Used by one thread.
 */
public final class WeightStore {

    private final long modelMillis;

    /** The time at which the store finishes what has been requested, in milliseconds since the epoch. */
    private long freeAtMillis;

    /**
     * Creates an idle store.
     *
     * @param modelMillis The time to load the weights of one model in milliseconds.
     */
    public WeightStore(long modelMillis) {
        this.modelMillis = modelMillis;
    }

    /**
     * Queues the weights of some models.
     *
     * @param nowMillis The current time in milliseconds since the epoch.
     * @param models The number of models.
     * @return The time at which all weights are loaded, in milliseconds since the epoch.
     */
    public long reserve(long nowMillis, int models) {
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + models * modelMillis;
        return freeAtMillis;
    }
}
