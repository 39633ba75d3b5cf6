package org.cranberrygauge.controller;

import com.beust.jcommander.Parameter;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.ProcessSettings;

/**
 * The settings of a controller.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public final class ControllerSettings extends ProcessSettings {

    /** The address for operations. */
    @Parameter(
            names = "--operations-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for /health and /state; port 0 takes any free one")
    private NetworkAddress operationsAddress;

    /** The time between two snapshots in milliseconds. */
    @Parameter(
            names = "--snapshot-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds of the log's time between two snapshots; at most a quarter of its retention")
    private long snapshotIntervalMillis = 900_000;

    /**
     * Returns the time between two snapshots.
     *
     * @return The time in milliseconds.
     */
    public long snapshotIntervalMillis() {
        return snapshotIntervalMillis;
    }

    /**
     * Returns the address for operations.
     *
     * @return The address.
     */
    public NetworkAddress operationsAddress() {
        return operationsAddress;
    }
}
