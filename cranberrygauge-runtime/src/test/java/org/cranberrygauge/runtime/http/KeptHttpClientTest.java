package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.runtime.event.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class KeptHttpClientTest {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    private static final int REQUESTS = 20;

    private final Vertx vertx = Vertx.vertx();

    private final AtomicInteger connections = new AtomicInteger();

    private final AtomicInteger requests = new AtomicInteger();

    /** What the server writes for each request. */
    private volatile String answer = RESPONSE;

    private NetServer server;

    private KeptHttpClient client;

    @BeforeEach
    void start() throws Exception {
        server = vertx.createNetServer()
                .connectHandler(this::serve)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        client = new KeptHttpClient(
                vertx, new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(1), EventLog.NoOp.INSTANCE);
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against a new connection for each request. */
    @Test
    void theConnectionOfASoundServerIsKept() throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            assertThat(ask()).isEqualTo("ok");
        }
        assertThat(connections).hasValue(1);
    }

    /** Guards against a request, or a place in the pool, that is lost with a connection which ends after its response. */
    @Test
    void noRequestIsLostToBytesAfterAResponse() throws Exception {
        for (String following : new String[] {RESPONSE, "HTTP/1.1 200 OK\r\nContent-Le", "x"}) {
            answer = RESPONSE + following;
            for (int request = 0; request < REQUESTS; request++) {
                assertThat(ask()).isEqualTo("ok");
            }
        }
        assertThat(requests).hasValue(3 * REQUESTS);
    }

    private String ask() throws Exception {
        return client.request(new RequestOptions()
                        .setHost("127.0.0.1")
                        .setPort(server.actualPort())
                        .setURI("/"))
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .map(Buffer::toString)
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    private void serve(NetSocket socket) {
        connections.incrementAndGet();
        socket.handler(bytes -> {
            if (bytes.toString().endsWith("\r\n\r\n")) {
                requests.incrementAndGet();
                socket.write(answer);
            }
        });
    }
}
