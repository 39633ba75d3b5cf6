package org.cranberrygauge.emulator.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EmulatedEngineTest {

    private static final String MODEL = "amber-large";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private Vertx vertx;

    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        vertx = Vertx.vertx();
        server = new EmulatedEngine(
                        vertx,
                        Set.of(MODEL),
                        new EngineSpeed(1, 2, 0, 1_000_000),
                        100,
                        true,
                        CrashAction.Close.INSTANCE)
                .listen(new NetworkAddress("127.0.0.1", 0))
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void startsQueuedRequestsInTheOrderOfTheirPriority() throws Exception {
        List<String> ended = Collections.synchronizedList(new ArrayList<>());
        CompletableFuture<Void> first = complete("first", 0, ended);
        awaitCounts("\"running\":1");
        CompletableFuture<Void> low = complete("low", 5, ended);
        awaitCounts("\"waiting\":1");
        CompletableFuture<Void> high = complete("high", 1, ended);

        CompletableFuture.allOf(first, low, high).get(20, TimeUnit.SECONDS);

        assertThat(ended).containsExactly("first", "high", "low");
    }

    @Test
    void rejectsAnOldFencingNumberAndAcceptsARepeatedOne() throws Exception {
        assertThat(post("/role", "{\"models\":[\"other\"],\"fencingNumber\":5}").statusCode())
                .isEqualTo(200);
        assertThat(post("/role", "{\"models\":[\"amber-large\"],\"fencingNumber\":4}")
                        .statusCode())
                .isEqualTo(409);
        assertThat(post("/v1/chat/completions", body("a", 1)).statusCode()).isEqualTo(404);
        assertThat(post("/role", "{\"models\":[\"amber-large\"],\"fencingNumber\":5}")
                        .statusCode())
                .isEqualTo(200);
        assertThat(post("/v1/chat/completions", body("a", 1)).statusCode()).isEqualTo(200);
    }

    @Test
    void publishesCacheEventsWithGaps() throws Exception {
        for (String prompt : List.of("a", "b", "c")) {
            post("/v1/chat/completions", body(prompt, 1));
        }
        assertThat(get("/cache-events?after=0")).contains("\"number\":1", "\"number\":2", "\"number\":3");

        post("/faults", "{\"name\":\"CACHE_EVENT_GAP\",\"amount\":2}");
        assertThat(get("/cache-events?after=0"))
                .contains("\"number\":1", "\"number\":3")
                .doesNotContain("\"number\":2");

        post("/faults", "{\"name\":\"CACHE_EVENT_LAG_MILLIS\",\"amount\":600000}");
        assertThat(get("/cache-events?after=0")).isEqualTo("[]");
    }

    @Test
    void reportsTheLoadWithALag() throws Exception {
        CompletableFuture<Void> running = complete("long", 0, new ArrayList<>());
        awaitCounts("\"running\":1");
        post("/faults", "{\"name\":\"LOAD_LAG_MILLIS\",\"amount\":600000}");

        assertThat(get("/load")).contains("\"running\":0");
        running.get(20, TimeUnit.SECONDS);
    }

    @Test
    void rejectsAnUnknownFault() throws Exception {
        assertThat(post("/faults", "{\"name\":\"NONE\",\"amount\":1}").statusCode())
                .isEqualTo(400);
    }

    private CompletableFuture<Void> complete(String prompt, int priority, List<String> ended) {
        HttpRequest request = HttpRequest.newBuilder(uri("/v1/chat/completions"))
                .header("X-Priority", String.valueOf(priority))
                .POST(HttpRequest.BodyPublishers.ofString(body(prompt, 100)))
                .build();
        return client.sendAsync(request, BodyHandlers.ofString()).thenAccept(answer -> ended.add(prompt));
    }

    private void awaitCounts(String text) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!get("/counts").contains(text)) {
            assertThat(System.nanoTime()).as("not in time: " + text).isLessThan(endNanos);
        }
    }

    private static String body(String prompt, int tokens) {
        return "{\"model\":\"" + MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
                + "\"}],\"metadata\":{\"output_tokens\":\"" + tokens + "\"}}";
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(uri(path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofString());
    }

    private String get(String path) throws Exception {
        return client.send(HttpRequest.newBuilder(uri(path)).build(), BodyHandlers.ofString())
                .body();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + server.actualPort() + path);
    }
}
