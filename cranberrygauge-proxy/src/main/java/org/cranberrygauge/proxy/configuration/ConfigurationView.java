package org.cranberrygauge.proxy.configuration;

import java.util.Optional;

/**
 * The newest configuration known to a host and when it was last confirmed to be the newest.
 *
 * <p>The times are those at which the confirming read was sent, so that the age is never understated.
 *
 * @param configuration The configuration; empty until one is known.
 * @param confirmedMillis The monotonic time of the confirming read in milliseconds.
 * @param confirmedWallMillis The time of day of the confirming read in milliseconds of the epoch.
 */
public record ConfigurationView(
        Optional<ProxyConfiguration> configuration, long confirmedMillis, long confirmedWallMillis) {

    /** The difference between the clocks above which the host may have been suspended, in milliseconds. */
    private static final long CLOCK_TOLERANCE_MILLIS = 300;

    /** A view without a configuration. */
    public static final ConfigurationView NONE = new ConfigurationView(Optional.empty(), 0, 0);

    /**
     * Returns a view that a later read confirmed.
     *
     * @param sentMillis The monotonic time at which the read was sent, in milliseconds.
     * @param sentWallMillis The time of day at which the read was sent, in milliseconds of the epoch.
     * @return The view.
     */
    public ConfigurationView withConfirmation(long sentMillis, long sentWallMillis) {
        return new ConfigurationView(configuration, sentMillis, sentWallMillis);
    }

    /**
     * Tells whether the configuration is known to have been the newest a short time ago.
     *
     * <p>The monotonic clock stands still while a host is suspended; a time of day that ran ahead of it tells so.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param nowWallMillis The present time of day in milliseconds of the epoch.
     * @param maximumAgeMillis The highest age in milliseconds.
     * @return Whether it is fresh.
     */
    public boolean isFresh(long nowMillis, long nowWallMillis, long maximumAgeMillis) {
        if (configuration.isEmpty()) {
            return false;
        }
        long age = nowMillis - confirmedMillis;
        long wallAge = nowWallMillis - confirmedWallMillis;
        return age < maximumAgeMillis && wallAge - age < CLOCK_TOLERANCE_MILLIS;
    }
}
