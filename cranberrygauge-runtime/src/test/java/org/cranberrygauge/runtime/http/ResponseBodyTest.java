package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseBodyTest {

    private static final int TIMEOUT_SECONDS = 10;

    private static final int MAXIMUM_BYTES = 100_000;

    /** The bytes after which the server stops, so that a client that reads them all only fails its test. */
    private static final long LIMIT_BYTES = 200L << 20;

    private static final Buffer PIECE = Buffer.buffer("x".repeat(16 << 10));

    private final Vertx vertx = Vertx.vertx();

    /** Completed with the number of bytes that the server wrote when its connection was closed. */
    private final CompletableFuture<Long> closed = new CompletableFuture<>();

    private long writtenBytes;

    private volatile String response = "";

    private volatile boolean endless;

    private NetServer server;

    @BeforeEach
    void start() throws Exception {
        server = get(vertx.createNetServer()
                .connectHandler(this::serve)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture());
    }

    @AfterEach
    void stop() throws Exception {
        get(vertx.close().toCompletionStage().toCompletableFuture());
    }

    @Test
    void aBodyOfTheMaximumSizeIsRead() throws Exception {
        response = "HTTP/1.1 200 OK\r\nContent-Length: " + MAXIMUM_BYTES + "\r\n\r\n" + "x".repeat(MAXIMUM_BYTES);
        assertThat(get(read())).isEqualTo(MAXIMUM_BYTES + " bytes");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 9223372036854775807\r\n"})
    void aBodyWithoutEndFailsAndItsConnectionIsClosed(String framing) throws Exception {
        response = "HTTP/1.1 200 OK\r\n" + framing + "\r\n";
        endless = true;
        assertThat(get(read())).contains("exceeds " + MAXIMUM_BYTES + " bytes");
        assertThat(get(closed)).isLessThan(LIMIT_BYTES / 2);
    }

    @Test
    void aBodyThatBreaksOffFails() throws Exception {
        response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart";
        assertThat(get(read())).doesNotContain("bytes");
    }

    /** Guards against a call of the platform that keeps a body without end (issue 65). */
    @Test
    void thePlatformsClientKeepsNoBodyWithoutEnd() throws Exception {
        response = "HTTP/1.1 200 OK\r\n\r\n";
        endless = true;
        HttpPlatform platform = new HttpPlatform(
                vertx,
                new NetworkAddress("127.0.0.1", server.actualPort()),
                TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        assertThat(platform.append("record")).failsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(get(closed)).isLessThan(LIMIT_BYTES / 2);
    }

    private CompletableFuture<String> read() {
        KeptHttpClient client =
                new KeptHttpClient(vertx, new HttpClientOptions(), new PoolOptions(), EventLog.NoOp.INSTANCE);
        CompletableFuture<String> outcome = new CompletableFuture<>();
        vertx.runOnContext(run -> client.request(
                        new RequestOptions().setHost("127.0.0.1").setPort(server.actualPort()))
                .compose(HttpClientRequest::send)
                .compose(answer -> ResponseBody.read(answer, MAXIMUM_BYTES))
                .onComplete(body -> outcome.complete(
                        body.succeeded()
                                ? body.result().length() + " bytes"
                                : body.cause().getMessage())));
        return outcome;
    }

    /** Responds to each request, and goes on without end or closes the connection. */
    private void serve(NetSocket socket) {
        socket.closeHandler(end -> closed.complete(writtenBytes));
        socket.exceptionHandler(reset -> closed.complete(writtenBytes));
        socket.handler(request -> {
            socket.handler(ignored -> {});
            socket.write(response).onSuccess(written -> {
                if (endless) {
                    writeEndlessly(socket);
                } else {
                    socket.close();
                }
            });
        });
    }

    private void writeEndlessly(NetSocket socket) {
        socket.write(PIECE).onSuccess(written -> {
            writtenBytes += PIECE.length();
            if (writtenBytes < LIMIT_BYTES) {
                vertx.runOnContext(next -> writeEndlessly(socket));
            } else {
                socket.close();
            }
        });
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
