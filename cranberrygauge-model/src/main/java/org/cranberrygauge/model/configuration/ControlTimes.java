package org.cranberrygauge.model.configuration;

/**
 * The timeouts and intervals of the control functions.
 *
 * @param leaseMillis The length of the controller's lease in milliseconds.
 * @param orderTimeoutMillis The longest time that an order may be in transit, in milliseconds.
 * @param usageWindowMillis The length of a usage window in milliseconds.
 * @param reservationRetentionMillis The time for which an idempotency key is remembered, in milliseconds.
 * @param freshnessMillis The time without news of the log after which an isolated gateway stops admitting, in
 *     milliseconds.
 */
public record ControlTimes(
        long leaseMillis,
        long orderTimeoutMillis,
        long usageWindowMillis,
        long reservationRetentionMillis,
        long freshnessMillis) {

    /** The default values. */
    private static final ControlTimes STANDARD = new ControlTimes(6_000, 1_000, 60_000, 86_400_000, 3_000);

    /** Returns the default values. */
    public static ControlTimes standard() {
        return STANDARD;
    }
}
