package org.cranberrygauge.model.configuration;

/**
 * A configuration with the log offset that brought it into force.
 *
 * @param version The version, which is the log offset of the accepted change; 0 before any change.
 */
public record VersionedConfiguration(long version, Configuration configuration) {

    /** The state before any change was accepted. */
    private static final VersionedConfiguration INITIAL = new VersionedConfiguration(0, Configuration.empty());

    /** Returns the state before any change was accepted. */
    public static VersionedConfiguration initial() {
        return INITIAL;
    }
}
