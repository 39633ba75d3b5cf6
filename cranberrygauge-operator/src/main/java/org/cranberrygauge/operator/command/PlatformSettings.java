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
 * Settings of commands that call the platform.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
public final class PlatformSettings {

    @Parameter(
            names = "--platform-address",
            required = true,
            converter = AddressConverter.class,
            description = "HOST:PORT of the platform's interfaces")
    private NetworkAddress platformAddress;

    @Parameter(
            names = "--timeout-millis",
            validateWith = PositiveNumber.class,
            description = "Milliseconds after which the command times out")
    private long timeoutMillis = 10_000;

    @Parameter(
            names = "--operations-addresses",
            converter = AddressConverter.class,
            description =
                    "HOST:PORT of each gateway's operations server, separated by commas, for metrics and decisions")
    private List<NetworkAddress> operationsAddresses = new ArrayList<>();

    /** Null until a session is opened. */
    private HttpPlatform platform;

    /** Null until a session is opened. */
    private Vertx vertx;

    /** Opens a session with the log; close it with {@link #close()}. */
    public LogSession open(String operator) {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        TimeSource time = TimeSource.System.INSTANCE;
        platform = new HttpPlatform(vertx, platformAddress, timeoutMillis);
        return new LogSession(
                platform, time, Program.incarnation("operator:" + operator, time.wallMillis()), timeoutMillis);
    }

    /** Returns the client of the platform, or null if no session has been opened. */
    public HttpPlatform platform() {
        return platform;
    }

    /** Returns a client of the gateways' operations servers; requires that a session has been opened. */
    public OperationsClient operations() {
        return new OperationsClient(vertx, operationsAddresses, timeoutMillis);
    }

    public long timeoutMillis() {
        return timeoutMillis;
    }

    /** Closes the session's connections; does nothing if none was opened. */
    public void close() {
        if (vertx != null) {
            vertx.close();
        }
    }
}
