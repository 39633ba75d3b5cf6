package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cranberrygauge.decision.configuration.ConfigurationValidator;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.quarantine.QuarantineLimits;
import org.cranberrygauge.emulator.engine.CrashAction;
import org.cranberrygauge.emulator.engine.EmulatedEngine;
import org.cranberrygauge.emulator.engine.EngineCounts;
import org.cranberrygauge.emulator.engine.EngineSpeed;
import org.cranberrygauge.emulator.platform.EmulatedPlatform;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.gateway.Gateway;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.setting.SettingsParser;

/** Gateways and emulated backend servers in this process, connected by sockets on free ports. */
final class InProcessDeployment implements AutoCloseable {

    static final String HOST = "127.0.0.1";

    static final NetworkAddress ANY = new NetworkAddress(HOST, 0);

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Vertx vertx = Vertx.vertx();

    private final List<HttpServer> engines = new ArrayList<>();

    private final List<HttpServer> ledgers = new ArrayList<>();

    private final List<Gateway> gateways = new ArrayList<>();

    private final HttpServer platform;

    private final HttpPlatform log;

    private final String writer = "bench-" + System.nanoTime();

    private Configuration configuration;

    private long version;

    private long sequence;

    InProcessDeployment(DeploymentOptions options) throws Exception {
        platform =
                get(new EmulatedPlatform(vertx, new EmulatedPlatform.Options(600_000, true, 10, 50, 10)).listen(ANY));
        log = new HttpPlatform(vertx, address(platform), 5_000);
        for (int index = 0; index < options.engines(); index++) {
            EngineSpeed speed = new EngineSpeed(8, 2, 0, 1_000_000);
            engines.add(get(new EmulatedEngine(
                            vertx, Set.of(InProcessConfiguration.MODEL), speed, 1_000, true, CrashAction.Close.INSTANCE)
                    .listen(ANY)));
        }
        for (int index = 0; index < options.ledgers(); index++) {
            ledgers.add(get(new EmulatedService(vertx, 1).listen(ANY)));
        }
        configuration = InProcessConfiguration.of(ports(engines), ports(ledgers), options.longestWaitMillis());
        if (options.logDown()) {
            fault(platformPort(), "LOG_OUTAGE", 1);
        }
        for (int index = 0; index < options.gateways(); index++) {
            gateways.add(startGateway(index, options));
        }
        for (Gateway one : gateways) {
            gateways.stream()
                    .filter(other -> other != one)
                    .forEach(other -> one.addPeer(new NetworkAddress(HOST, other.exchangePort())));
        }
        if (!options.logDown()) {
            apply(configuration);
        }
    }

    private Gateway startGateway(int index, DeploymentOptions options) throws Exception {
        GatewaySettings settings = new GatewaySettings();
        List<String> arguments = new ArrayList<>(List.of(
                "--host-name=host-" + index,
                "--data-centre=east-a",
                "--platform-address=" + HOST + ":" + platformPort(),
                "--listen-address=" + ANY,
                "--operations-address=" + ANY,
                "--exchange-address=" + ANY,
                "--backend-timeout-millis=1000"));
        arguments.addAll(options.settings());
        new SettingsParser("bench", Map.of())
                .parse(
                        settings,
                        arguments.stream()
                                .flatMap(argument -> Stream.of(argument.split("=", 2)))
                                .toArray(String[]::new));
        Quarantine quarantine = options.quarantine()
                ? new Quarantine.Default(QuarantineLimits.standard())
                : Quarantine.Disabled.INSTANCE;
        Gateway gateway = new Gateway(settings, EventLog.NoOp.INSTANCE, quarantine);
        get(gateway.start());
        return gateway;
    }

    Configuration configuration() {
        return configuration;
    }

    /** Appends a configuration and waits until it is in force at every gateway. */
    void apply(Configuration next) throws Exception {
        assertThat(ConfigurationValidator.problems(next)).isEmpty();
        append(next);
        for (Gateway gateway : gateways) {
            Await.until("the configuration is in force", () -> ready(gateway) && versionOf(gateway) > version);
        }
        version = versionOf(gateways.get(0));
        configuration = next;
    }

    void append(Configuration next) throws Exception {
        sequence++;
        LogRecord change = new LogRecord.ConfigurationChange("change-" + sequence, "bench", version, next);
        appendRaw(LogCodec.write(new LogEntry(writer, sequence, List.of(change))));
    }

    void appendRaw(String payload) throws Exception {
        log.append(payload).toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    void withdrawKey(String customer, String key) throws Exception {
        apply(InProcessConfiguration.withoutKey(configuration, customer, key));
    }

    boolean ready(Gateway gateway) throws IOException, InterruptedException {
        return request(gateway.operationsPort(), "GET", "/health/ready", Map.of(), "")
                        .statusCode()
                == 200;
    }

    private long versionOf(Gateway gateway) throws IOException, InterruptedException {
        String state =
                request(gateway.operationsPort(), "GET", "/state", Map.of(), "").body();
        return new JsonObject(state).getLong("configuration_version");
    }

    int gatewayPort(int index) {
        return gateways.get(index).callerPort();
    }

    Gateway gateway(int index) {
        return gateways.get(index);
    }

    int platformPort() {
        return platform.actualPort();
    }

    List<Integer> enginePorts() {
        return ports(engines);
    }

    List<Integer> ledgerPorts() {
        return ports(ledgers);
    }

    /** Returns the number of engines that accept connections. */
    long reachableEngines() {
        return enginePorts().stream()
                .filter(InProcessDeployment::acceptsConnections)
                .count();
    }

    private static boolean acceptsConnections(int port) {
        try (Socket socket = new Socket(HOST, port)) {
            return socket.isConnected();
        } catch (IOException exception) {
            return false;
        }
    }

    void fault(int port, String name, double amount) throws Exception {
        HttpResponse<String> answer =
                request(port, "POST", "/faults", Map.of(), JsonCodec.write(new FaultSwitch(name, amount)));
        if (answer.statusCode() != 200) {
            throw new IllegalStateException("emulator rejected the fault " + name + ": " + answer.body());
        }
    }

    void faultOnEngines(String name, double amount) throws Exception {
        for (int port : enginePorts()) {
            fault(port, name, amount);
        }
    }

    EngineCounts engineCounts(int port) throws Exception {
        return JsonCodec.read(request(port, "GET", "/counts", Map.of(), "").body(), EngineCounts.class);
    }

    EmulatedService.Counts ledgerCounts(int port) throws Exception {
        return JsonCodec.read(request(port, "GET", "/counts", Map.of(), "").body(), EmulatedService.Counts.class);
    }

    int executions(String call) throws Exception {
        int sum = 0;
        for (int port : ledgerPorts()) {
            sum += ledgerCounts(port).executions().getOrDefault(call, 0);
        }
        return sum;
    }

    HttpResponse<String> chat(int gatewayIndex, String key, String body) throws IOException, InterruptedException {
        return request(
                gatewayPort(gatewayIndex),
                "POST",
                "/v1/chat/completions",
                Map.of("Authorization", "Bearer " + key),
                body);
    }

    HttpResponse<Stream<String>> stream(int gatewayIndex, String key, String body)
            throws IOException, InterruptedException {
        return CLIENT.send(
                build(
                        gatewayPort(gatewayIndex),
                        "POST",
                        "/v1/chat/completions",
                        Map.of("Authorization", "Bearer " + key),
                        body),
                BodyHandlers.ofLines());
    }

    static HttpResponse<String> request(int port, String method, String path, Map<String, String> headers, String body)
            throws IOException, InterruptedException {
        return CLIENT.send(build(port, method, path, headers, body), BodyHandlers.ofString());
    }

    private static HttpRequest build(int port, String method, String path, Map<String, String> headers, String body) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                .timeout(Duration.ofSeconds(30))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(builder::header);
        return builder.build();
    }

    static JsonObject errorOf(HttpResponse<String> answer) {
        return new JsonObject(answer.body()).getJsonObject("error");
    }

    @Override
    public void close() throws Exception {
        gateways.forEach(Gateway::stop);
        get(vertx.close());
    }

    private static List<Integer> ports(List<HttpServer> servers) {
        return servers.stream().map(HttpServer::actualPort).toList();
    }

    private static NetworkAddress address(HttpServer server) {
        return new NetworkAddress(HOST, server.actualPort());
    }

    private static <T> T get(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** The size and the settings of a deployment. */
    record DeploymentOptions(
            int gateways,
            int engines,
            int ledgers,
            boolean quarantine,
            boolean logDown,
            long longestWaitMillis,
            List<String> settings) {

        static DeploymentOptions of(int gateways, int engines, int ledgers) {
            return new DeploymentOptions(gateways, engines, ledgers, true, false, 10_000, List.of());
        }

        DeploymentOptions withoutQuarantine() {
            return new DeploymentOptions(gateways, engines, ledgers, false, logDown, longestWaitMillis, settings);
        }

        DeploymentOptions withLogDown() {
            return new DeploymentOptions(gateways, engines, ledgers, quarantine, true, longestWaitMillis, settings);
        }

        DeploymentOptions withLongestWait(long millis) {
            return new DeploymentOptions(gateways, engines, ledgers, quarantine, logDown, millis, settings);
        }

        DeploymentOptions withSettings(String... replacement) {
            return new DeploymentOptions(
                    gateways, engines, ledgers, quarantine, logDown, longestWaitMillis, List.of(replacement));
        }
    }
}
