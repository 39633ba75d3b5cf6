package org.cranberrygauge.emulator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.emulator.engine.CrashAction;
import org.cranberrygauge.emulator.engine.EmulatedEngine;
import org.cranberrygauge.emulator.engine.EngineSpeed;
import org.cranberrygauge.emulator.platform.EmulatedPlatform;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.platform.PlatformMessages;
import org.cranberrygauge.runtime.setting.AddressConverter;
import org.cranberrygauge.runtime.setting.PositiveNumber;

/**
 * The settings of a stand-in.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
abstract class EmulatorSettings {

    /** The address to listen on. */
    @Parameter(
            names = "--listen-address",
            converter = AddressConverter.class,
            description = "HOST:PORT to listen on; port 0 takes any free one")
    private NetworkAddress listenAddress = new NetworkAddress("127.0.0.1", 0);

    /**
     * Returns the address to listen on.
     *
     * @return The address.
     */
    protected NetworkAddress listenAddress() {
        return listenAddress;
    }

    /**
     * Starts the stand-in.
     *
     * @param vertx The Vert.x instance.
     * @return The server.
     */
    abstract Future<HttpServer> start(Vertx vertx);

    /** The settings of the platform. */
    @Parameters(commandDescription = "Runs the stand-in of the platform")
    static final class EmulatedPlatformSettings extends EmulatorSettings {

        /** The time for which log entries are kept. */
        @Parameter(
                names = "--log-retention-millis",
                validateWith = PositiveNumber.class,
                description = "Milliseconds for which log entries are kept")
        private long logRetentionMillis = 86_400_000;

        /** Whether old fencing numbers are refused. */
        @Parameter(names = "--checks-fencing", arity = 1, description = "Whether old fencing numbers are refused")
        private boolean checksFencing = true;

        /** The time a backend server takes to start. */
        @Parameter(names = "--start-millis", description = "Milliseconds that an ordered backend server takes to start")
        private long startMillis = 500;

        /** The lag of the list. */
        @Parameter(
                names = "--list-lag-millis",
                validateWith = PositiveNumber.class,
                description = "Milliseconds by which the list of backend servers lags")
        private long listLagMillis = 500;

        /** The time that the weights of one model take. */
        @Parameter(
                names = "--weight-millis",
                description = "Milliseconds that the rate-limited weight store takes for one model")
        private long weightMillis = 200;

        @Override
        Future<HttpServer> start(Vertx vertx) {
            EmulatedPlatform.Options options = new EmulatedPlatform.Options(
                    logRetentionMillis, checksFencing, startMillis, listLagMillis, weightMillis);
            return new EmulatedPlatform(vertx, options).listen(listenAddress());
        }
    }

    /** The settings of an engine. */
    @Parameters(commandDescription = "Runs the stand-in of an engine")
    static final class EngineSettings extends EmulatorSettings {

        /** The name of the backend server. */
        @Parameter(names = "--name", description = "Name of the backend server")
        private String name = "engine";

        /** The models that run here. */
        @Parameter(names = "--models", required = true, description = "Models that run here, separated by commas")
        private List<String> models = new ArrayList<>();

        /** The number of requests that run at once. */
        @Parameter(
                names = "--slots",
                validateWith = PositiveNumber.class,
                description = "Number of requests that run at once")
        private int slots = 8;

        /** The time between tokens of a lone request. */
        @Parameter(names = "--token-interval-millis", description = "Milliseconds between tokens of a lone request")
        private double tokenIntervalMillis = 10;

        /** The part by which the interval grows under load. */
        @Parameter(names = "--load-slope", description = "Part by which the interval grows when all slots run")
        private double loadSlope = 1;

        /** The speed of reading prompts. */
        @Parameter(names = "--prefill-tokens-per-second", description = "Prompt tokens that are read in a second")
        private double prefillTokensPerSecond = 8_000;

        /** The memory of the prefix cache. */
        @Parameter(names = "--cache-tokens", description = "Memory of the prefix cache in tokens")
        private int cacheTokens = 20_000;

        /** Whether old fencing numbers are refused. */
        @Parameter(names = "--checks-fencing", arity = 1, description = "Whether old fencing numbers are refused")
        private boolean checksFencing = true;

        /** The pool to register for. */
        @Parameter(names = "--pool", description = "Pool for which the platform may supply this backend server")
        private String pool = "";

        /** The data centre. */
        @Parameter(names = "--data-centre", description = "Data centre of this backend server")
        private String dataCentre = "";

        /** The address of the platform to register with. */
        @Parameter(
                names = "--platform-address",
                converter = AddressConverter.class,
                description = "HOST:PORT of the platform to register with, needed with --pool")
        private NetworkAddress platformAddress;

        @Override
        Future<HttpServer> start(Vertx vertx) {
            EngineSpeed speed = new EngineSpeed(slots, tokenIntervalMillis, loadSlope, prefillTokensPerSecond);
            EmulatedEngine engine = new EmulatedEngine(
                    vertx, Set.copyOf(models), speed, cacheTokens, checksFencing, CrashAction.Halt.INSTANCE);
            return engine.listen(listenAddress())
                    .compose(server -> pool.isEmpty() ? Future.succeededFuture(server) : register(vertx, server));
        }

        /**
         * Registers with the platform. The client is closed at the end, and so is reachable until then: Vert.x closes a
         * client that nothing refers to.
         *
         * @param vertx The Vert.x instance.
         * @param server The server.
         * @return The server.
         */
        private Future<HttpServer> register(Vertx vertx, HttpServer server) {
            BackendServer self = new BackendServer(
                    name,
                    new NetworkAddress(listenAddress().host(), server.actualPort()),
                    dataCentre,
                    BackendKind.MODEL,
                    Set.copyOf(models),
                    pool.endsWith("cheap") ? Supply.CHEAP : Supply.REGULAR,
                    slots,
                    checksFencing);
            String body = JsonCodec.write(new EmulatedPlatform.Registration(pool, self));
            HttpClient client = vertx.createHttpClient();
            return client.request(
                            HttpMethod.POST,
                            platformAddress.port(),
                            platformAddress.host(),
                            PlatformMessages.BACKEND_SERVERS_PATH)
                    .compose(request -> request.send(Buffer.buffer(body)))
                    .eventually(client::close)
                    .map(server);
        }
    }

    /** The settings of a plain service. */
    @Parameters(commandDescription = "Runs the stand-in of a plain service")
    static final class ServiceSettings extends EmulatorSettings {

        /** The time a call takes. */
        @Parameter(names = "--call-millis", description = "Milliseconds that a call takes")
        private long callMillis = 5;

        @Override
        Future<HttpServer> start(Vertx vertx) {
            return new EmulatedService(vertx, callMillis).listen(listenAddress());
        }
    }
}
