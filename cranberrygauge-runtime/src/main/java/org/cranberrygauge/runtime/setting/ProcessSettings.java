package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.Parameter;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * The settings shared by all long-running programs.
 *
 * <p>Populated by the settings parser before any thread is started, and read-only afterwards.
 */
public class ProcessSettings {

    @Parameter(names = "--help", help = true, description = "Prints this help and exits")
    private boolean help;

    @Parameter(names = "--version", help = true, description = "Prints the version and exits")
    private boolean version;

    @Parameter(names = "--host-name", required = true, description = "Name of this host")
    private String hostName;

    @Parameter(names = "--data-centre", required = true, description = "Data centre of this host")
    private String dataCentre;

    @Parameter(
            names = "--platform-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of the platform's interfaces")
    private NetworkAddress platformAddress;

    @Parameter(
            names = "--platform-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Timeout of a call to the platform in milliseconds")
    private long platformTimeoutMillis = 1_000;

    /**
     * Checks settings that depend on each other.
     *
     * @throws SettingException If they are inconsistent.
     */
    public void check() throws SettingException {
        // None of these settings depends on another.
    }

    /** Returns whether to print the usage and exit. */
    public boolean help() {
        return help;
    }

    /** Returns whether to print the version and exit. */
    public boolean version() {
        return version;
    }

    public String hostName() {
        return hostName;
    }

    public String dataCentre() {
        return dataCentre;
    }

    public NetworkAddress platformAddress() {
        return platformAddress;
    }

    /** Returns the timeout of calls to the platform in milliseconds. */
    public long platformTimeoutMillis() {
        return platformTimeoutMillis;
    }
}
