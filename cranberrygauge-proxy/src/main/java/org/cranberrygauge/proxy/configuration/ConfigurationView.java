package org.cranberrygauge.proxy.configuration;

import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.proxy.store.Confirmation;

/**
 * The newest configuration known to a host, and when it was last confirmed to be the newest. Immutable.
 *
 * <p>The confirmation is dated from the time at which the read was sent, so that the age is never understated.
 *
 * @param configuration The configuration; empty until one is known.
 * @param confirmation The time of the last confirming read.
 */
public record ConfigurationView(Optional<ProxyConfiguration> configuration, Confirmation confirmation) {

    public static final ConfigurationView NONE = new ConfigurationView(Optional.empty(), Confirmation.NONE);

    /** Returns a view with the later of the current and the given confirmation. */
    public ConfigurationView withConfirmation(Confirmation read) {
        return new ConfigurationView(configuration, confirmation.later(read));
    }

    /** Returns a view with another configuration and the same confirmation. */
    public ConfigurationView withConfiguration(ProxyConfiguration newer) {
        return new ConfigurationView(Optional.of(newer), confirmation);
    }

    /**
     * Returns the time since the last confirming read in milliseconds, or -1 without a configuration. Unlike {@link
     * #isFresh}, it ignores that the host may have been suspended.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public long loggedAgeMillis(long nowMillis) {
        return configuration.isEmpty() ? -1 : nowMillis - confirmation.monotonicMillis();
    }

    /**
     * Tells whether the configuration was confirmed as the newest within a time; never true if the host may have been
     * suspended since.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param nowWallMillis The current wall-clock time in milliseconds since the epoch.
     * @param maximumAgeMillis The age in milliseconds below which the configuration is fresh.
     */
    public boolean isFresh(long nowMillis, long nowWallMillis, long maximumAgeMillis) {
        if (configuration.isEmpty()) {
            return false;
        }
        OptionalLong age = confirmation.ageMillis(nowMillis, nowWallMillis);
        return age.isPresent() && age.getAsLong() < maximumAgeMillis;
    }
}
