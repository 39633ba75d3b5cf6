package org.cranberrygauge.model.configuration;

/**
 * The times of the control functions.
 *
 * @param leaseMillis The length of the controller's lease in milliseconds.
 * @param orderTimeoutMillis The longest time an order may be under way in milliseconds.
 * @param usageWindowMillis The length of a usage window in milliseconds.
 * @param reservationRetentionMillis The time for which an idempotency key is remembered in milliseconds.
 * @param freshnessMillis The longest time without news of the log after which a lone gateway stops admitting.
 */
public record ControlTimes(
        long leaseMillis,
        long orderTimeoutMillis,
        long usageWindowMillis,
        long reservationRetentionMillis,
        long freshnessMillis) {

    /** The times of a configuration that states none. */
    private static final ControlTimes STANDARD = new ControlTimes(6_000, 1_000, 60_000, 86_400_000, 3_000);

    /**
     * Returns the times of a configuration that states none.
     *
     * @return The standard times.
     */
    public static ControlTimes standard() {
        return STANDARD;
    }
}
