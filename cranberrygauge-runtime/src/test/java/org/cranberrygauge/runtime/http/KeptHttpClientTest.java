package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.runtime.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class KeptHttpClientTest {

    private static final int TIMEOUT_SECONDS = 10;

    private static final int REQUESTS = 20;

    /** More than a response takes while it is paused, and less than an event loop reads at once. */
    private static final int LONG_BODY_BYTES = 200_000;

    private static final long PAUSE_MILLIS = 5;

    private static final String SHORT_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private final AtomicInteger connections = new AtomicInteger();

    private Vertx vertx;

    private NetServer server;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void stop() throws Exception {
        get(vertx.close().toCompletionStage().toCompletableFuture());
    }

    /** Guards against a new connection for each request. */
    @Test
    void theConnectionOfASoundServerIsKept() throws Exception {
        serve(SHORT_ANSWER);
        KeptHttpClient client = client(new HttpClientOptions());
        for (int request = 0; request < REQUESTS; request++) {
            assertThat(get(ask(client))).isEqualTo("ok");
        }
        assertThat(connections).hasValue(1);
    }

    /** Guards against a request, or a place in the pool, that is lost with a connection which ends after its response. */
    @ParameterizedTest
    @ValueSource(strings = {SHORT_ANSWER, "HTTP/1.1 200 OK\r\nContent-Le", "x"})
    void noRequestIsLostToBytesAfterAResponse(String following) throws Exception {
        serve(SHORT_ANSWER + following);
        KeptHttpClient client = client(new HttpClientOptions());
        for (int request = 0; request < REQUESTS; request++) {
            assertThat(get(ask(client))).isEqualTo("ok");
        }
    }

    /** Guards against a whole response that is lost to a slow reader because the server writes additional bytes after it. */
    @Test
    void bytesBehindAResponseCostNothingOfItWhileItIsPaused() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n" + "x".repeat(LONG_BODY_BYTES)
                + "garbage");
        KeptHttpClient client = client(new HttpClientOptions());
        List<String> outcomes = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            CompletableFuture<String> outcome = new CompletableFuture<>();
            vertx.runOnContext(run -> client.request(options())
                    .compose(HttpClientRequest::send)
                    .onSuccess(response -> readLate(response, outcome))
                    .onFailure(failure -> outcome.complete(failure.getMessage())));
            outcomes.add(get(outcome));
        }
        assertThat(outcomes).containsOnly(LONG_BODY_BYTES + " bytes");
    }

    private void readLate(HttpClientResponse response, CompletableFuture<String> outcome) {
        AtomicLong bytes = new AtomicLong();
        response.handler(part -> {
            if (bytes.addAndGet(part.length()) < LONG_BODY_BYTES) {
                pause(response);
            }
        });
        response.endHandler(end -> outcome.complete(bytes + " bytes"));
        response.exceptionHandler(failure -> outcome.complete(failure.getMessage() + " after " + bytes + " bytes"));
        pause(response);
    }

    private void pause(HttpClientResponse response) {
        response.pause();
        vertx.setTimer(PAUSE_MILLIS, fired -> response.resume());
    }

    /** Guards against requests that wait for a connection and fail unsent, because each connection ends after a response. */
    @Test
    void bytesBehindResponsesCostNoRequestThatWaitsForAConnection() throws Exception {
        serve(SHORT_ANSWER + "HTTP/1.1 200 O");
        KeptHttpClient client = client(new HttpClientOptions());
        List<CompletableFuture<String>> outcomes = new ArrayList<>();
        for (int request = 0; request < 400; request++) {
            outcomes.add(ask(client));
        }
        List<String> failures = new ArrayList<>();
        for (CompletableFuture<String> outcome : outcomes) {
            if (!get(outcome).equals("ok")) {
                failures.add(get(outcome));
            }
        }
        assertThat(failures).as("of %d requests", outcomes.size()).isEmpty();
    }

    /** Guards against several new connections for one request to a server that takes none, which burdens it further. */
    @Test
    void aServerThatEndsEachNewConnectionGetsOneForEachRequest() throws Exception {
        listen(NetSocket::close);
        KeptHttpClient client = client(new HttpClientOptions().setKeepAlive(false));
        int requests = 200;
        for (int request = 0; request < requests; request++) {
            get(ask(client));
        }
        assertThat(connections).hasValue(requests);
    }

    private CompletableFuture<String> ask(KeptHttpClient client) {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        vertx.runOnContext(run -> client.request(options())
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .onComplete(body -> outcome.complete(
                        body.succeeded()
                                ? body.result().toString()
                                : body.cause().getMessage())));
        return outcome;
    }

    private KeptHttpClient client(HttpClientOptions options) {
        return new KeptHttpClient(vertx, options, new PoolOptions().setHttp1MaxSize(2), EventLog.NoOp.INSTANCE);
    }

    private RequestOptions options() {
        return new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(server.actualPort())
                .setURI("/");
    }

    /** Starts a server that writes some bytes for each request. */
    private void serve(String bytes) throws Exception {
        listen(socket -> socket.handler(request -> socket.write(Buffer.buffer(bytes))));
    }

    private void listen(Handler<NetSocket> opened) throws Exception {
        server = vertx.createNetServer().connectHandler(socket -> {
            connections.incrementAndGet();
            opened.handle(socket);
        });
        get(server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture());
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
