package org.cranberrygauge.controller;

import com.beust.jcommander.Parameter;
import org.cranberrygauge.decision.fleet.FleetParameters;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.ProcessSettings;

/**
 * Settings of a controller.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public final class ControllerSettings extends ProcessSettings {

    private static final double PERCENT_PER_WHOLE = 100;

    @Parameter(
            names = "--operations-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for /health and /state; port 0 takes any free one")
    private NetworkAddress operationsAddress;

    @Parameter(
            names = "--server-tokens-per-second",
            validateWith = PositiveNumber.class,
            description = "Output tokens per second of one backend server under full load")
    private int serverTokensPerSecond = (int) FleetParameters.standard().tokensPerSecond();

    @Parameter(
            names = "--server-utilization-percent",
            validateWith = PositiveNumber.class,
            description = "Percentage of --server-tokens-per-second for which the fleet is planned")
    private int serverUtilizationPercent = (int) (FleetParameters.standard().utilization() * PERCENT_PER_WHOLE);

    @Parameter(
            names = "--server-start-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that an ordered backend server takes to start, without the wait for weights")
    private long serverStartMillis = FleetParameters.standard().startMillis();

    @Parameter(
            names = "--weights-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that the weight store takes for one backend server")
    private long weightsMillis = FleetParameters.standard().weightsMillis();

    @Parameter(
            names = "--idle-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds for which a backend server must be idle before it is released")
    private long idleMillis = FleetParameters.standard().idleMillis();

    @Parameter(
            names = "--cleaning-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds that cleaning an empty backend server takes")
    private long cleaningMillis = 600_000;

    /** Returns the parameters of the fleet planner, with the utilization converted from percent. */
    public FleetParameters fleetParameters() {
        return new FleetParameters(
                serverTokensPerSecond,
                serverUtilizationPercent / PERCENT_PER_WHOLE,
                serverStartMillis,
                weightsMillis,
                idleMillis);
    }

    public long cleaningMillis() {
        return cleaningMillis;
    }

    @Parameter(
            names = "--snapshot-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds of the log's time between two snapshots; at most a quarter of its retention")
    private long snapshotIntervalMillis = 900_000;

    public long snapshotIntervalMillis() {
        return snapshotIntervalMillis;
    }

    public NetworkAddress operationsAddress() {
        return operationsAddress;
    }
}
