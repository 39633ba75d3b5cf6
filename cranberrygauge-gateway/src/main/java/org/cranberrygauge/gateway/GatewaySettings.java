package org.cranberrygauge.gateway;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.ProcessSettings;

/**
 * The settings of a gateway.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
public final class GatewaySettings extends ProcessSettings {

    /** The address for callers. */
    @Parameter(
            names = "--listen-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for callers; port 0 takes any free one")
    private NetworkAddress listenAddress;

    /** The address for operations. */
    @Parameter(
            names = "--operations-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for /metrics and /health; port 0 takes any free one")
    private NetworkAddress operationsAddress;

    /** The address for the exchange with peers. */
    @Parameter(
            names = "--exchange-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for the exchange with the other gateways")
    private NetworkAddress exchangeAddress;

    /** The addresses of the peers. */
    @Parameter(
            names = "--peers",
            converter = AddressConverter.class,
            description = "HOST:PORT of the exchange of each gateway, separated by commas; the own one is left out")
    private List<NetworkAddress> peers = new ArrayList<>();

    /** The number of event loops. */
    @Parameter(
            names = "--event-loops",
            validateWith = PositiveNumber.class,
            description = "Number of event loops that serve callers")
    private int eventLoops = 2;

    /** The credential for backend servers. */
    @Parameter(
            names = "--backend-credential",
            description = "Credential that backend servers get in place of the caller's key; best set by environment")
    private String backendCredential = "cranberrygauge";

    /** The largest body. */
    @Parameter(
            names = "--body-limit-bytes",
            validateWith = PositiveNumber.class,
            description = "Largest body of a request in bytes")
    private int bodyLimitBytes = 4 * 1024 * 1024;

    /** The largest header. */
    @Parameter(
            names = "--header-limit-bytes",
            validateWith = PositiveNumber.class,
            description = "Largest header of a request in bytes")
    private int headerLimitBytes = 16 * 1024;

    /** The time in which a body must arrive. */
    @Parameter(
            names = "--body-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds in which the body of a request must arrive")
    private long bodyTimeoutMillis = 10_000;

    /** The time without a request after which a caller's connection is closed. */
    @Parameter(
            names = "--caller-idle-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds without a request after which a caller's connection is closed")
    private long callerIdleTimeoutMillis = 60_000;

    /** The time without a byte after which a backend server is given up. */
    @Parameter(
            names = "--backend-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds without a byte after which a backend server is given up")
    private long backendTimeoutMillis = 30_000;

    /** The time for which running requests may go on after a planned stop began. */
    @Parameter(
            names = "--drain-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds for which running requests may go on after a planned stop began")
    private long drainTimeoutMillis = 120_000;

    /** The time between two exchanges with a peer. */
    @Parameter(
            names = "--exchange-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two exchanges with a peer")
    private long exchangeIntervalMillis = 250;

    /** The time between two usage deltas. */
    @Parameter(
            names = "--usage-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two usage records in the log")
    private long usageIntervalMillis = 1_000;

    /** The time after which a reservation that is not in the log is given up. */
    @Parameter(
            names = "--reservation-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds after which a call is refused whose reservation is not in the log")
    private long reservationTimeoutMillis = 2_000;

    /**
     * Returns the address for callers.
     *
     * @return The address.
     */
    public NetworkAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Returns the address for operations.
     *
     * @return The address.
     */
    public NetworkAddress operationsAddress() {
        return operationsAddress;
    }

    /**
     * Returns the address for the exchange with peers.
     *
     * @return The address.
     */
    public NetworkAddress exchangeAddress() {
        return exchangeAddress;
    }

    /**
     * Returns the addresses of the peers.
     *
     * @return The addresses, without the own one.
     */
    public List<NetworkAddress> peers() {
        return peers.stream().filter(peer -> !peer.equals(exchangeAddress)).toList();
    }

    /**
     * Returns the number of event loops.
     *
     * @return The number.
     */
    public int eventLoops() {
        return eventLoops;
    }

    /**
     * Returns the credential for backend servers.
     *
     * @return The credential.
     */
    public String backendCredential() {
        return backendCredential;
    }

    /**
     * Returns the largest body.
     *
     * @return The size in bytes.
     */
    public int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    /**
     * Returns the largest header.
     *
     * @return The size in bytes.
     */
    public int headerLimitBytes() {
        return headerLimitBytes;
    }

    /**
     * Returns the time in which a body must arrive.
     *
     * @return The time in milliseconds.
     */
    public long bodyTimeoutMillis() {
        return bodyTimeoutMillis;
    }

    /**
     * Returns the time without a request after which a caller's connection is closed.
     *
     * @return The time in milliseconds.
     */
    public long callerIdleTimeoutMillis() {
        return callerIdleTimeoutMillis;
    }

    /**
     * Returns the time without a byte after which a backend server is given up.
     *
     * @return The time in milliseconds.
     */
    public long backendTimeoutMillis() {
        return backendTimeoutMillis;
    }

    /**
     * Returns the time for which running requests may go on after a planned stop began.
     *
     * @return The time in milliseconds.
     */
    public long drainTimeoutMillis() {
        return drainTimeoutMillis;
    }

    /**
     * Returns the time between two exchanges with a peer.
     *
     * @return The time in milliseconds.
     */
    public long exchangeIntervalMillis() {
        return exchangeIntervalMillis;
    }

    /**
     * Returns the time between two usage deltas.
     *
     * @return The time in milliseconds.
     */
    public long usageIntervalMillis() {
        return usageIntervalMillis;
    }

    /**
     * Returns the time after which a reservation that is not in the log is given up.
     *
     * @return The time in milliseconds.
     */
    public long reservationTimeoutMillis() {
        return reservationTimeoutMillis;
    }
}
