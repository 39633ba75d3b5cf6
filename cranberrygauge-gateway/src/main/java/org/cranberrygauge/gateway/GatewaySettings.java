package org.cranberrygauge.gateway;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrygauge.decision.connection.DescriptorBudget;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.lifecycle.DescriptorLimit;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.setting.ProcessSettings;
import org.cranberrygauge.runtime.setting.SettingException;
import org.cranberrygauge.runtime.tls.CertificateFiles;
import org.cranberrygauge.runtime.tls.TlsSettings;

/**
 * The settings of a gateway.
 *
 * <p>Populated by the settings parser before any thread is started, and read-only afterwards.
 */
public final class GatewaySettings extends ProcessSettings {

    @Parameter(
            names = "--listen-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for callers; port 0 selects a free port")
    private NetworkAddress listenAddress;

    @Parameter(
            names = "--operations-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for /metrics and /health; port 0 selects a free port")
    private NetworkAddress operationsAddress;

    @Parameter(
            names = "--exchange-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT for the exchange with the other gateways")
    private NetworkAddress exchangeAddress;

    @Parameter(
            names = "--peers",
            converter = AddressConverter.class,
            description =
                    "HOST:PORT of the exchange of each gateway, separated by commas; this gateway's own address is ignored")
    private List<NetworkAddress> peers = new ArrayList<>();

    @Parameter(
            names = "--event-loops",
            validateWith = PositiveNumber.class,
            description = "Number of event loops that serve callers")
    private int eventLoops = 2;

    @ParametersDelegate
    private final TlsSettings tls = new TlsSettings();

    @Parameter(
            names = "--backend-credential",
            description =
                    "Credential sent to backend servers in place of the caller's key; best set as an environment variable")
    private String backendCredential = "cranberrygauge";

    @Parameter(
            names = "--body-limit-bytes",
            validateWith = PositiveNumber.class,
            description = "Largest body of a request in bytes")
    private int bodyLimitBytes = 4 * 1024 * 1024;

    @Parameter(
            names = "--header-limit-bytes",
            validateWith = PositiveNumber.class,
            description = "Largest header of a request in bytes")
    private int headerLimitBytes = 16 * 1024;

    @Parameter(
            names = "--body-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds in which the body of a request must arrive")
    private long bodyTimeoutMillis = 10_000;

    @Parameter(
            names = "--caller-idle-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds without a request after which a caller's connection is closed")
    private long callerIdleTimeoutMillis = 60_000;

    @Parameter(
            names = "--caller-header-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds in which the header of a request must arrive once it has begun")
    private long callerHeaderTimeoutMillis = 10_000;

    @Parameter(
            names = "--caller-connection-limit",
            validateWith = PositiveNumber.class,
            description = "Number of callers' connections above which the one that has waited longest for a request is"
                    + " closed; without it, a part of the file descriptors that the process may open")
    private Integer callerConnectionLimit;

    @Parameter(
            names = "--backend-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds without a byte after which an attempt on a backend server fails")
    private long backendTimeoutMillis = 30_000;

    @Parameter(
            names = "--drain-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds for which running requests may continue after a planned stop has begun")
    private long drainTimeoutMillis = 120_000;

    @Parameter(
            names = "--exchange-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two exchanges with a peer")
    private long exchangeIntervalMillis = 250;

    @Parameter(
            names = "--usage-interval-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds between two usage records in the log")
    private long usageIntervalMillis = 1_000;

    @Parameter(
            names = "--reservation-timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds after which a call is refused whose reservation is not in the log")
    private long reservationTimeoutMillis = 2_000;

    @Override
    public void check() throws SettingException {
        Optional<CertificateFiles> files = tls.files();
        if (files.isPresent()) {
            files.get().read();
        }
    }

    public TlsSettings tls() {
        return tls;
    }

    public NetworkAddress listenAddress() {
        return listenAddress;
    }

    public NetworkAddress operationsAddress() {
        return operationsAddress;
    }

    public NetworkAddress exchangeAddress() {
        return exchangeAddress;
    }

    /** Returns the exchange addresses of the peers, without this gateway's own. */
    public List<NetworkAddress> peers() {
        return peers.stream().filter(peer -> !peer.equals(exchangeAddress)).toList();
    }

    public int eventLoops() {
        return eventLoops;
    }

    public String backendCredential() {
        return backendCredential;
    }

    public int bodyLimitBytes() {
        return bodyLimitBytes;
    }

    public int headerLimitBytes() {
        return headerLimitBytes;
    }

    /** Returns the time within which the body of a request must arrive in milliseconds. */
    public long bodyTimeoutMillis() {
        return bodyTimeoutMillis;
    }

    /** Returns the time without a request after which a caller's connection is closed in milliseconds. */
    public long callerIdleTimeoutMillis() {
        return callerIdleTimeoutMillis;
    }

    /** Returns the time in which the header of a request must arrive once it has begun, in milliseconds. */
    public long callerHeaderTimeoutMillis() {
        return callerHeaderTimeoutMillis;
    }

    /** Returns the number of callers' connections above which one is closed. */
    public int callerConnectionLimit() {
        return callerConnectionLimit != null
                ? callerConnectionLimit
                : DescriptorBudget.of(DescriptorLimit.ofProcess()).callerConnections();
    }

    /** Returns the time without a byte after which an attempt fails in milliseconds. */
    public long backendTimeoutMillis() {
        return backendTimeoutMillis;
    }

    /** Returns the time for which running requests may continue after a planned stop has begun in milliseconds. */
    public long drainTimeoutMillis() {
        return drainTimeoutMillis;
    }

    /** Returns the delay between two exchanges with a peer in milliseconds. */
    public long exchangeIntervalMillis() {
        return exchangeIntervalMillis;
    }

    /** Returns the interval at which usage is appended to the log in milliseconds. */
    public long usageIntervalMillis() {
        return usageIntervalMillis;
    }

    /**
     * Returns the time after which a call is refused whose reservation was not read back from the log in milliseconds.
     */
    public long reservationTimeoutMillis() {
        return reservationTimeoutMillis;
    }
}
