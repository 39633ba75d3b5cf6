package org.cranberrygauge.emulator.platform;

/**
 * The store of model weights, which hands out one model at a time.
 *
 * <p>Used by one thread.
 */
public final class WeightStore {

    /** The time that the weights of one model take in milliseconds. */
    private final long modelMillis;

    /** The time at which the store is free in milliseconds of the epoch. */
    private long freeAtMillis;

    /**
     * Creates a store.
     *
     * @param modelMillis The time that the weights of one model take in milliseconds.
     */
    public WeightStore(long modelMillis) {
        this.modelMillis = modelMillis;
    }

    /**
     * Takes the next place in line.
     *
     * @param nowMillis The present time in milliseconds of the epoch.
     * @param models The number of models.
     * @return The time at which all weights are there in milliseconds of the epoch.
     */
    public long reserve(long nowMillis, int models) {
        freeAtMillis = Math.max(freeAtMillis, nowMillis) + models * modelMillis;
        return freeAtMillis;
    }
}
