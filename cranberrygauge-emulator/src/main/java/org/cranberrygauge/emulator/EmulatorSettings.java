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
 * Settings of an emulator.
 *
 * <p>Filled in by the settings parser before any thread starts, and only read afterwards.
 */
abstract class EmulatorSettings {

    @Parameter(
            names = "--listen-address",
            converter = AddressConverter.class,
            description = "HOST:PORT to listen on; port 0 takes any free one")
    private NetworkAddress listenAddress = new NetworkAddress("127.0.0.1", 0);

    protected NetworkAddress listenAddress() {
        return listenAddress;
    }

    /** Starts the emulator and returns its server once it listens. */
    abstract Future<HttpServer> start(Vertx vertx);

    /** Settings of the command that emulates the platform. */
    @Parameters(commandDescription = "Emulates the platform")
    static final class EmulatedPlatformSettings extends EmulatorSettings {

        @Parameter(
                names = "--log-retention-millis",
                validateWith = PositiveNumber.class,
                description = "Milliseconds for which log entries are kept")
        private long logRetentionMillis = 86_400_000;

        @Parameter(
                names = "--checks-fencing",
                arity = 1,
                description = "Whether orders with an old fencing number are rejected")
        private boolean checksFencing = true;

        @Parameter(names = "--start-millis", description = "Milliseconds that an ordered backend server takes to start")
        private long startMillis = 500;

        @Parameter(
                names = "--list-lag-millis",
                validateWith = PositiveNumber.class,
                description = "Milliseconds by which the list of backend servers lags")
        private long listLagMillis = 500;

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

    /** Settings of the command that emulates a model engine. */
    @Parameters(commandDescription = "Emulates a model engine")
    static final class EngineSettings extends EmulatorSettings {

        @Parameter(names = "--name", description = "Name of the backend server")
        private String name = "engine";

        @Parameter(names = "--models", required = true, description = "Models that it serves, separated by commas")
        private List<String> models = new ArrayList<>();

        @Parameter(
                names = "--slots",
                validateWith = PositiveNumber.class,
                description = "Number of requests that run concurrently")
        private int slots = 8;

        @Parameter(
                names = "--token-interval-millis",
                description = "Milliseconds between tokens of the only running request")
        private double tokenIntervalMillis = 10;

        @Parameter(names = "--load-slope", description = "Share by which the interval grows when all slots are in use")
        private double loadSlope = 1;

        @Parameter(names = "--prefill-tokens-per-second", description = "Prompt tokens processed per second")
        private double prefillTokensPerSecond = 8_000;

        @Parameter(names = "--cache-tokens", description = "Capacity of the prefix cache in tokens")
        private int cacheTokens = 20_000;

        @Parameter(
                names = "--checks-fencing",
                arity = 1,
                description = "Whether orders with an old fencing number are rejected")
        private boolean checksFencing = true;

        @Parameter(names = "--pool", description = "Pool for which the platform may supply this backend server")
        private String pool = "";

        @Parameter(names = "--data-centre", description = "Data centre of this backend server")
        private String dataCentre = "";

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
         * Registers the engine with the platform. The client is closed only at the end, which also keeps it reachable
         * until then: Vert.x closes a client that is no longer referenced.
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

    /** Settings of the command that emulates a service. */
    @Parameters(commandDescription = "Emulates a service other than a model engine")
    static final class ServiceSettings extends EmulatorSettings {

        @Parameter(names = "--call-millis", description = "Milliseconds that a call takes")
        private long callMillis = 5;

        @Override
        Future<HttpServer> start(Vertx vertx) {
            return new EmulatedService(vertx, callMillis).listen(listenAddress());
        }
    }
}
