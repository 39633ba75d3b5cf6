package org.cranberrygauge.controller;

import com.beust.jcommander.Parameter;
import org.cranberrygauge.decision.fleet.FleetParameters;
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

    /** The number of percent in a whole. */
    private static final double PERCENT = 100;

    /** The address for operations. */
    @Parameter(
            names = "--operations-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for /health and /state; port 0 takes any free one")
    private NetworkAddress operationsAddress;

    /** The output rate of one backend server. */
    @Parameter(
            names = "--server-tokens-per-second",
            validateWith = PositiveNumber.class,
            description = "Output tokens a second that one backend server gives under full load")
    private int serverTokensPerSecond = (int) FleetParameters.standard().tokensPerSecond();

    /** The part of the output rate that is planned for. */
    @Parameter(
            names = "--server-utilization-percent",
            validateWith = PositiveNumber.class,
            description = "Percent of that rate which the fleet is planned for")
    private int serverUtilizationPercent = (int) (FleetParameters.standard().utilization() * PERCENT);

    /** The time a backend server takes to start. */
    @Parameter(
            names = "--server-start-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that an ordered backend server takes to start, without the wait for weights")
    private long serverStartMillis = FleetParameters.standard().startMillis();

    /** The time the weight store takes for one backend server. */
    @Parameter(
            names = "--weights-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that the weight store takes for one backend server")
    private long weightsMillis = FleetParameters.standard().weightsMillis();

    /** The time before an idle backend server is handed back. */
    @Parameter(
            names = "--idle-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds for which a backend server must be idle before it is handed back")
    private long idleMillis = FleetParameters.standard().idleMillis();

    /** The time that cleaning takes. */
    @Parameter(
            names = "--cleaning-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that cleaning an empty backend server takes")
    private long cleaningMillis = 600_000;

    /**
     * Returns what the fleet planner reckons with.
     *
     * @return The parameters.
     */
    public FleetParameters fleetParameters() {
        return new FleetParameters(
                serverTokensPerSecond,
                serverUtilizationPercent / PERCENT,
                serverStartMillis,
                weightsMillis,
                idleMillis);
    }

    /**
     * Returns the time that cleaning an empty backend server takes.
     *
     * @return The time in milliseconds.
     */
    public long cleaningMillis() {
        return cleaningMillis;
    }

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
