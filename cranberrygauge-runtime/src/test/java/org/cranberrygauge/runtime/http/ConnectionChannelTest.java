package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionChannelTest {

    /** More than the buffers of both sockets take. */
    private static final int BODY_BYTES = 64 << 20;

    private final Vertx vertx = Vertx.vertx();

    private final CompletableFuture<Void> closed = new CompletableFuture<>();

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against a connection that stays open for good after a response was broken off that its peer doesn't read. */
    @Test
    void aConnectionIsClosedInTimeThoughItsPeerDoesNotRead() throws Exception {
        try (Socket peer = ask(connection -> ConnectionChannel.closeWithin(connection, 100))) {
            closed.get(10, TimeUnit.SECONDS);
            assertThat(peer.isClosed()).as("the peer has not closed it").isFalse();
        }
    }

    @Test
    void aPeerThatReadsGetsWhatIsQueuedFirst() throws Exception {
        try (Socket peer = ask(connection -> ConnectionChannel.closeWithin(connection, 60_000))) {
            assertThat(peer.getInputStream().readAllBytes()).hasSizeGreaterThan(BODY_BYTES);
            closed.get(10, TimeUnit.SECONDS);
        }
    }

    /** Sends a request, on which the server writes a body and then does something with the connection. */
    private Socket ask(Consumer<HttpConnection> afterwards) throws Exception {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> {
                    request.connection().closeHandler(closed::complete);
                    request.response().setChunked(true).write(Buffer.buffer(new byte[BODY_BYTES]));
                    afterwards.accept(request.connection());
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        Socket peer = new Socket(InetAddress.getLoopbackAddress(), server.actualPort());
        peer.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return peer;
    }
}
