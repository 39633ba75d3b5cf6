package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.Parameter;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * The settings that every long-running program has.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public class ProcessSettings {

    /** Whether to print the usage and exit. */
    @Parameter(names = "--help", help = true, description = "Prints this help and exits")
    private boolean help;

    /** Whether to print the version and exit. */
    @Parameter(names = "--version", help = true, description = "Prints the version and exits")
    private boolean version;

    /** The name of the host. */
    @Parameter(names = "--host-name", required = true, description = "Name of this host")
    private String hostName;

    /** The name of the data centre. */
    @Parameter(names = "--data-centre", required = true, description = "Data centre of this host")
    private String dataCentre;

    /** The address of the platform. */
    @Parameter(
            names = "--platform-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of the platform's interfaces")
    private NetworkAddress platformAddress;

    /** The time after which a call to the platform is given up in milliseconds. */
    @Parameter(
            names = "--platform-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds after which a call to the platform is given up")
    private long platformTimeoutMillis = 1_000;

    /**
     * Checks settings that depend on each other.
     *
     * @throws SettingException If they do not fit together.
     */
    public void check() throws SettingException {
        // Each of these settings stands for itself.
    }

    /**
     * Tells whether to print the usage.
     *
     * @return Whether to print the usage and exit.
     */
    public boolean help() {
        return help;
    }

    /**
     * Tells whether to print the version.
     *
     * @return Whether to print the version and exit.
     */
    public boolean version() {
        return version;
    }

    /**
     * Returns the name of the host.
     *
     * @return The name.
     */
    public String hostName() {
        return hostName;
    }

    /**
     * Returns the name of the data centre.
     *
     * @return The name.
     */
    public String dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the address of the platform.
     *
     * @return The address.
     */
    public NetworkAddress platformAddress() {
        return platformAddress;
    }

    /**
     * Returns the time after which a call to the platform is given up.
     *
     * @return The time in milliseconds.
     */
    public long platformTimeoutMillis() {
        return platformTimeoutMillis;
    }
}
