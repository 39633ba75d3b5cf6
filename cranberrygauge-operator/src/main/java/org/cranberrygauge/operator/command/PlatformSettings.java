package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.operator.view.OperationsClient;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The settings of commands that talk to the platform.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
public final class PlatformSettings {

    /** The address of the platform. */
    @Parameter(
            names = "--platform-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of the platform's interfaces")
    private NetworkAddress platformAddress;

    /** The time after which a call is given up. */
    @Parameter(
            names = "--timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds after which the command gives up")
    private long timeoutMillis = 10_000;

    /** The addresses of the gateways' operations. */
    @Parameter(
            names = "--operations-addresses",
            converter = AddressConverter.class,
            description = "HOST:PORT of each gateway's operations, separated by commas, for figures and decisions")
    private List<NetworkAddress> operationsAddresses = new ArrayList<>();

    /** The client of the platform, made when first needed. */
    private HttpPlatform platform;

    /** The Vert.x instance, made when first needed. */
    private Vertx vertx;

    /**
     * Opens a session with the log.
     *
     * @param operator The name of the operator.
     * @return The session.
     */
    public LogSession open(String operator) {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        TimeSource time = TimeSource.System.INSTANCE;
        platform = new HttpPlatform(vertx, platformAddress, timeoutMillis);
        return new LogSession(
                platform, time, Program.incarnation("operator:" + operator, time.wallMillis()), timeoutMillis);
    }

    /**
     * Returns the client of the platform.
     *
     * @return The client, once a session was opened.
     */
    public HttpPlatform platform() {
        return platform;
    }

    /**
     * Returns a client of the gateways' operations.
     *
     * @return The client, once a session was opened.
     */
    public OperationsClient operations() {
        return new OperationsClient(vertx, operationsAddresses, timeoutMillis);
    }

    /**
     * Returns the time after which the command gives up.
     *
     * @return The time in milliseconds.
     */
    public long timeoutMillis() {
        return timeoutMillis;
    }

    /** Closes what was opened. */
    public void close() {
        if (vertx != null) {
            vertx.close();
        }
    }
}
