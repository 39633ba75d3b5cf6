package org.cranberrygauge.verification;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.emulator.platform.EmulatedPlatform;
import org.cranberrygauge.emulator.service.EmulatedService;
import org.cranberrygauge.gateway.Gateway;
import org.cranberrygauge.gateway.GatewaySettings;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;
import org.cranberrygauge.operator.command.Command;
import org.cranberrygauge.operator.command.HistoryCommand;
import org.cranberrygauge.operator.command.StatusCommand;
import org.cranberrygauge.protocol.log.LogCodec;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.setting.SettingsParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SecretScanTest {

    private static final String KEY = "cg-caller-secret-7f3a";

    private static final String UNKNOWN_KEY = "cg-unknown-secret-91bc";

    private static final String CREDENTIAL = "backend-secret-55de";

    private static final String COOKIE = "cookie-secret-02aa";

    private static final long DEADLINE_SECONDS = 20;

    private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);

    private final Vertx vertx = Vertx.vertx();

    private final HttpClient client = vertx.createHttpClient();

    private final Queue<String> texts = new ConcurrentLinkedQueue<>();

    private HttpServer platform;

    private HttpServer ledger;

    private Gateway gateway;

    @BeforeEach
    void start() throws Exception {
        EmulatedPlatform.Options options = new EmulatedPlatform.Options(60_000, true, 10, 10, 10);
        platform = new EmulatedPlatform(vertx, options).listen(ANY_PORT).await();
        ledger = new EmulatedService(vertx, 1).listen(ANY_PORT).await();
        log().append(LogCodec.write(new LogEntry(
                        "operator:ana/1",
                        1,
                        List.of(new LogRecord.ConfigurationChange("c", "ana", 0, configuration())))))
                .toCompletableFuture()
                .get(DEADLINE_SECONDS, TimeUnit.SECONDS);
        GatewaySettings settings = new GatewaySettings();
        new SettingsParser("gateway", Map.of("CRANBERRYGAUGE_BACKEND_CREDENTIAL", CREDENTIAL))
                .parse(
                        settings,
                        "--host-name",
                        "host-1",
                        "--data-centre",
                        "a",
                        "--platform-address",
                        platformAddress(),
                        "--listen-address",
                        ANY_PORT.toString(),
                        "--operations-address",
                        ANY_PORT.toString(),
                        "--event-loops",
                        "1",
                        "--exchange-address",
                        ANY_PORT.toString());
        gateway = new Gateway(settings, event -> texts.add(EventLog.line(event)));
        gateway.start().await();
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS);
        while (!operations("/health/ready").contains("true") && System.nanoTime() < untilNanos) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() {
        gateway.stop();
        vertx.close().await();
    }

    @Test
    void no_secret_appears_in_logs_metrics_status_records_or_errors() throws Exception {
        assertThat(call(KEY, "/services/ledger/bookings", "{\"fountain\":\"stork\"}"))
                .contains("200");
        assertThat(call(UNKNOWN_KEY, "/services/ledger/bookings", "{}")).contains("401");
        texts.add(call(KEY, "/v1/chat/completions", "{broken"));
        texts.add(call(KEY, "/nothing?key=" + KEY, "{}"));
        for (String path : List.of("/metrics", "/state", "/health/ready", "/decisions?about=parks")) {
            texts.add(operations(path));
        }
        texts.add(output(new StatusCommand()));
        texts.add(output(new HistoryCommand()));
        log().read(0, 1_000, 0)
                .toCompletableFuture()
                .get(DEADLINE_SECONDS, TimeUnit.SECONDS)
                .entries()
                .forEach(entry -> texts.add(entry.payload()));
        texts.add(get(ledger.actualPort(), "/counts").replace(CREDENTIAL, ""));
        assertThat(texts).hasSizeGreaterThan(10).anyMatch(text -> text.contains("parks"));
        for (String secret : List.of(KEY, UNKNOWN_KEY, CREDENTIAL, COOKIE)) {
            assertThat(texts).noneMatch(text -> text.contains(secret));
        }
    }

    private Configuration configuration() {
        return new Configuration(
                "fountains",
                List.of(new DataCentre("a", "north")),
                List.of(new ServiceClass("booking", 0, 0.5, 1_000, 31, 5_000, 100)),
                List.of(new Customer(
                        "parks", 1, List.of(new CustomerKey("first", KeyDigest.of(KEY))), Set.of("booking"))),
                List.of(),
                List.of(new ServiceRoute(
                        "/ledger/bookings", "POST", "ledger", "booking", Repetition.AT_MOST_ONCE, false, true, "")),
                List.of(new BackendServer(
                        "ledger-a",
                        new NetworkAddress("127.0.0.1", ledger.actualPort()),
                        "a",
                        BackendKind.SERVICE,
                        Set.of("ledger"),
                        Supply.REGULAR,
                        4,
                        false)),
                List.of(),
                List.of(),
                ControlTimes.standard());
    }

    private String call(String key, String path, String body) {
        RequestOptions options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(gateway.callerPort())
                .setMethod(HttpMethod.POST)
                .setURI(path)
                .putHeader("Authorization", "Bearer " + key)
                .putHeader("Cookie", "session=" + COOKIE)
                .putHeader("Idempotency-Key", "run-1");
        String answer = client.request(options)
                .compose(request -> request.send(body))
                .compose(response ->
                        response.body().map(text -> response.statusCode() + " " + response.headers() + " " + text))
                .await();
        texts.add(answer);
        return answer;
    }

    private String operations(String path) {
        return get(gateway.operationsPort(), path);
    }

    private String get(int port, String path) {
        return client.request(HttpMethod.GET, port, "127.0.0.1", path)
                .compose(request -> request.send())
                .compose(HttpClientResponse::body)
                .map(Buffer::toString)
                .await();
    }

    private String output(Command command) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        JCommander.newBuilder().addObject(command).build().parse("--platform-address", platformAddress());
        command.run(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private HttpPlatform log() {
        return new HttpPlatform(vertx, new NetworkAddress("127.0.0.1", platform.actualPort()), 2_000);
    }

    private String platformAddress() {
        return "127.0.0.1:" + platform.actualPort();
    }
}
