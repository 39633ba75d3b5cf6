package org.cranberrygauge.proxy.configuration;

import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.proxy.store.Confirmation;

/**
 * The newest configuration known to a host and when it was last confirmed to be the newest.
 *
 * <p>The time is that at which the confirming read was sent, so that the age is never understated.
 *
 * @param configuration The configuration; empty until one is known.
 * @param confirmation The time of the confirming read.
 */
public record ConfigurationView(Optional<ProxyConfiguration> configuration, Confirmation confirmation) {

    /** A view without a configuration. */
    public static final ConfigurationView NONE = new ConfigurationView(Optional.empty(), Confirmation.NONE);

    /**
     * Returns a view that another read confirmed.
     *
     * @param read The time of the read.
     * @return The view with the later of the two confirmations.
     */
    public ConfigurationView withConfirmation(Confirmation read) {
        return new ConfigurationView(configuration, confirmation.later(read));
    }

    /**
     * Returns a view with another configuration.
     *
     * @param newer The configuration.
     * @return The view.
     */
    public ConfigurationView withConfiguration(ProxyConfiguration newer) {
        return new ConfigurationView(Optional.of(newer), confirmation);
    }

    /**
     * Returns the time since the confirming read was sent, as it is logged.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The age in milliseconds, or -1 without a configuration.
     */
    public long loggedAgeMillis(long nowMillis) {
        return configuration.isEmpty() ? -1 : nowMillis - confirmation.monotonicMillis();
    }

    /**
     * Tells whether the configuration is known to have been the newest a short time ago.
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
        OptionalLong age = confirmation.ageMillis(nowMillis, nowWallMillis);
        return age.isPresent() && age.getAsLong() < maximumAgeMillis;
    }
}
