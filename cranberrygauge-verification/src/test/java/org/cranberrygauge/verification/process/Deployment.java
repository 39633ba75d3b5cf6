package org.cranberrygauge.verification.process;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cranberrygauge.controller.ControllerMain;
import org.cranberrygauge.emulator.EmulatorMain;
import org.cranberrygauge.emulator.engine.EngineCounts;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.gateway.GatewayMain;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;
import org.cranberrygauge.operator.command.ExitStatus;
import org.cranberrygauge.operator.log.ChangeApplier;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.time.TimeSource;

/** A small deployment on loopback in which each program runs as a separate process. */
final class Deployment implements AutoCloseable {

    static final String KEY = "key-of-odense-heritage";
    static final String POOL = "dk-east-b/amber-large/cheap";
    static final ControlTimes TIMES = new ControlTimes(1_500, 300, 700, 3_600_000, 3_000);

    private final Path directory;
    private final Vertx vertx = Vertx.vertx();
    private final List<Program> programs = new ArrayList<>();
    private final List<BackendServer> servers = new ArrayList<>();
    private final List<Integer> exchangePorts = new ArrayList<>();
    private final int platformPort;

    Deployment(Path directory, String... platformOptions) {
        this.directory = directory;
        platformPort = emulator("platform", platformOptions).port();
        prepareClient();
    }

    /**
     * Reads the log once before the test, so that class loading and compilation in this process count towards no bound
     * of a command.
     */
    private void prepareClient() {
        HttpPlatform client = platform();
        long startNanos = System.nanoTime();
        Await.until(
                "the log answers this process",
                () -> client.read(0, 1, 0)
                        .handle((page, failure) -> failure == null)
                        .toCompletableFuture()
                        .join());
        Measurements.append("first_read_of_log_in_test_process_millis", Measurements.since(startNanos));
    }

    /** A running program and the ports on which it accepts requests. */
    record Node(Program program, int port, int operationsPort) {}

    Node emulator(String kind, String... options) {
        List<String> arguments = new ArrayList<>(List.of(kind));
        arguments.addAll(List.of(options));
        Program program = start(kind, EmulatorMain.class, arguments);
        int port = program.awaitEventNumber("listening", "port");
        return new Node(program, port, port);
    }

    Node engine(String name, String dataCentre) {
        Node node = emulator("engine", "--models", "amber-large");
        add(name, node, dataCentre, BackendKind.MODEL, "amber-large", 8);
        return node;
    }

    Node spareEngine(String name) {
        return emulator(
                "engine",
                "--models",
                "amber-large",
                "--name",
                name,
                "--pool",
                POOL,
                "--data-centre",
                "dk-east-b",
                "--platform-address",
                "127.0.0.1:" + platformPort);
    }

    Node ledger(long callMillis) {
        Node node = emulator("service", "--call-millis", String.valueOf(callMillis));
        add("ledger", node, "dk-east-a", BackendKind.SERVICE, "ledger", 64);
        return node;
    }

    private void add(String name, Node node, String dataCentre, BackendKind kind, String serves, int slots) {
        servers.add(new BackendServer(
                name,
                new NetworkAddress("127.0.0.1", node.port()),
                dataCentre,
                kind,
                Set.of(serves),
                Supply.REGULAR,
                slots,
                true));
    }

    /** Starts gateways that are each other's peers. */
    List<Node> gateways(int count) {
        for (int index = 0; index < count; index++) {
            exchangePorts.add(freePort());
        }
        List<Program> started = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            started.add(startGateway(index, exchangePorts.get(index)));
        }
        return started.stream().map(Deployment::gatewayNode).toList();
    }

    /** Starts a new gateway under the host name of a previous one. */
    Node replaceGateway(int index) {
        return gatewayNode(startGateway(index, freePort()));
    }

    private Program startGateway(int index, int exchangePort) {
        String peers = exchangePorts.stream().map(port -> "127.0.0.1:" + port).collect(Collectors.joining(","));
        return start(
                "gateway-" + index,
                GatewayMain.class,
                List.of(
                        "--host-name",
                        "host-" + index,
                        "--data-centre",
                        "dk-east-a",
                        "--platform-address",
                        "127.0.0.1:" + platformPort,
                        "--listen-address",
                        "127.0.0.1:0",
                        "--operations-address",
                        "127.0.0.1:0",
                        "--exchange-address",
                        "127.0.0.1:" + exchangePort,
                        "--peers",
                        peers));
    }

    private static Node gatewayNode(Program program) {
        return new Node(
                program,
                program.awaitEventNumber("gateway_listening", "caller_port"),
                program.awaitEventNumber("gateway_listening", "operations_port"));
    }

    Node controller(String host, String... options) {
        List<String> arguments = new ArrayList<>(List.of(
                "--host-name",
                host,
                "--data-centre",
                "dk-east-a",
                "--platform-address",
                "127.0.0.1:" + platformPort,
                "--operations-address",
                "127.0.0.1:0"));
        arguments.addAll(List.of(options));
        Program program = start("controller-" + host, ControllerMain.class, arguments);
        int port = program.awaitEventNumber("controller_listening", "operations_port");
        return new Node(program, port, port);
    }

    private Program start(String name, Class<?> main, List<String> arguments) {
        Program program = Program.start(directory, name, main, arguments);
        programs.add(program);
        return program;
    }

    Configuration configuration() {
        ServiceClass chat = new ServiceClass("chat", 1, 0.3, 2_000, 100, 20_000, 500);
        ServiceClass booking = new ServiceClass("booking", 0, 0.1, 2_000, 100, 20_000, 500);
        Customer customer = new Customer(
                "odense-heritage", 1, List.of(new CustomerKey("first", KeyDigest.of(KEY))), Set.of("chat", "booking"));
        List<ServiceRoute> routes = servers.stream().anyMatch(server -> server.kind() == BackendKind.SERVICE)
                ? List.of(new ServiceRoute(
                        "/ledger/bookings", "POST", "ledger", "booking", Repetition.AT_MOST_ONCE, false, true, ""))
                : List.of();
        return new Configuration(
                "test",
                List.of(new DataCentre("dk-east-a", "dk-east"), new DataCentre("dk-east-b", "dk-east")),
                List.of(booking, chat),
                List.of(customer),
                List.of("amber-large"),
                routes,
                servers,
                List.of(),
                List.of(),
                TIMES);
    }

    Configuration withPool(int minimum) {
        return configuration()
                .withFleet(List.of(new FleetPool("dk-east-b", "amber-large", Supply.CHEAP, minimum, 3, 1)));
    }

    ExitStatus apply(String operator, Configuration configuration) {
        return apply(operator, -1, configuration);
    }

    /** Applies a change as the operator's command does; a negative base version stands for the version in force. */
    ExitStatus apply(String operator, long base, Configuration configuration) {
        try {
            LogSession session =
                    new LogSession(platform(), TimeSource.System.INSTANCE, operator + UUID.randomUUID(), 5_000);
            ChangeApplier applier = new ChangeApplier(session, 20_000);
            long baseVersion = base < 0 ? applier.currentVersion() : base;
            PrintStream output = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
            return applier.apply(UUID.randomUUID().toString(), operator, baseVersion, configuration, output);
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException(exception);
        }
    }

    HttpPlatform platform() {
        return new HttpPlatform(vertx, new NetworkAddress("127.0.0.1", platformPort), 2_000);
    }

    int platformPort() {
        return platformPort;
    }

    void platformFault(String name, double amount) {
        TestHttpClient.fault(platformPort, name, amount);
    }

    List<Order> orders() {
        return Arrays.asList(TestHttpClient.get(platformPort, "/orders", Order[].class));
    }

    List<UsageReport> reports() {
        return Arrays.asList(TestHttpClient.get(platformPort, "/usage", UsageReport[].class));
    }

    /** Reads all records of the log in order. */
    List<LogRecord> log() {
        List<LogRecord> records = new ArrayList<>();
        PlatformLog.Page page =
                TestHttpClient.get(platformPort, "/log/records?after=0&limit=100000", PlatformLog.Page.class);
        try {
            for (PlatformLog.StoredEntry entry : page.entries()) {
                records.addAll(LogCodec.read(entry.payload()).records());
            }
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException(exception);
        }
        return records;
    }

    /** Reads the records of one type from the log. */
    <T extends LogRecord> List<T> log(Class<T> type) {
        return log().stream().filter(type::isInstance).map(type::cast).toList();
    }

    static HttpRequest.Builder chat(int port, int tokens) {
        String body = "{\"model\":\"amber-large\",\"stream\":true,\"max_tokens\":" + tokens
                + ",\"metadata\":{\"output_tokens\":\"" + tokens
                + "\"},\"messages\":[{\"role\":\"user\",\"content\":\"What lies in the fountain?\"}]}";
        return TestHttpClient.request(port, "/v1/chat/completions")
                .header("Authorization", "Bearer " + KEY)
                .header("X-Service-Class", "chat")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static HttpRequest.Builder booking(int port, String call) {
        return TestHttpClient.request(port, "/services/ledger/bookings")
                .header("Authorization", "Bearer " + KEY)
                .header("Idempotency-Key", call)
                .header("X-Call-Id", call)
                .POST(HttpRequest.BodyPublishers.ofString("{\"fountain\":\"stork\"}"));
    }

    static boolean isComplete(HttpResponse<String> answer) {
        return answer.statusCode() == 200
                && answer.body().contains("[DONE]")
                && !answer.body().contains("\"error\"");
    }

    static CompletableFuture<HttpResponse<String>> startedChat(Node gateway, Node engine, int tokens) {
        CompletableFuture<HttpResponse<String>> answer = TestHttpClient.send(chat(gateway.port(), tokens));
        Await.until("the engine runs the chat", () -> engineCounts(engine).running() > 0);
        return answer;
    }

    static EngineCounts engineCounts(Node engine) {
        return TestHttpClient.get(engine.port(), "/counts", EngineCounts.class);
    }

    static EmulatedService.Counts ledgerCounts(Node ledger) {
        return TestHttpClient.get(ledger.port(), "/counts", EmulatedService.Counts.class);
    }

    static void awaitReady(List<Node> gateways) {
        for (Node gateway : gateways) {
            Await.until(
                    "a gateway is ready",
                    () -> TestHttpClient.status(gateway.operationsPort(), "/health/ready") == 200);
        }
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    @Override
    public void close() {
        programs.forEach(Program::kill);
        vertx.close();
    }
}
