package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.runtime.http.ConnectionChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class CallerReplyTest {

    /** More than the buffers of both sockets take. */
    private static final int BODY_BYTES = 64 << 20;

    private final Vertx vertx = Vertx.vertx();

    private static final int PART_BYTES = 1 << 20;

    private static final long STALL_TIMEOUT_MILLIS = 100;

    private final CompletableFuture<HttpConnection> connection = new CompletableFuture<>();

    /** Completes when the connection of a stream has ended. */
    private final CompletableFuture<Void> streamClosed = new CompletableFuture<>();

    private HttpServer server;

    @BeforeEach
    void start() throws Exception {
        server = vertx.createHttpServer()
                .requestHandler(request -> {
                    CallerReply reply =
                            new CallerReply(request, vertx.getOrCreateContext(), "request", STALL_TIMEOUT_MILLIS);
                    if ("/stream".equals(request.path())) {
                        request.connection().closeHandler(streamClosed::complete);
                        long timer =
                                vertx.setPeriodic(1, fired -> reply.writeChunk(Buffer.buffer("x".repeat(PART_BYTES))));
                        streamClosed.thenRun(() -> vertx.cancelTimer(timer));
                        return;
                    }
                    reply.answerUntilClose(200, "text/plain", Buffer.buffer("x".repeat(BODY_BYTES)));
                    connection.complete(request.connection());
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against a gateway that stops in the middle of a body and leaves its caller a short one as whole (MIXED). */
    @Test
    void aResponseWithoutFramingThatBreaksOffIsReset() throws Exception {
        try (Socket caller = ask()) {
            InputStream response = caller.getInputStream();
            assertThat(response.read()).isEqualTo('H');
            ConnectionChannel.closeNow(connection.get(10, TimeUnit.SECONDS));

            assertThatThrownBy(response::readAllBytes).isInstanceOf(SocketException.class);
        }
    }

    @Test
    void aResponseWithoutFramingEndsInOrderForACallerThatReadsIt() throws Exception {
        try (Socket caller = ask()) {
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

            assertThat(response.substring(0, response.indexOf("\r\n\r\n")))
                    .doesNotContainIgnoringCase("Content-Length")
                    .doesNotContainIgnoringCase("Transfer-Encoding");
            assertThat(response.length() - response.indexOf("\r\n\r\n") - 4).isEqualTo(BODY_BYTES);
        }
    }

    /** Guards against a stream whose caller has stopped reading, and whose connection is never closed for that. */
    @Test
    void aStreamThatItsCallerDoesNotReadIsClosedAfterATime() throws Exception {
        try (Socket caller = ask("/stream")) {
            streamClosed.get(10, TimeUnit.SECONDS);
            assertThat(caller.isClosed()).as("the caller has not closed it").isFalse();
        }
    }

    private Socket ask() throws Exception {
        return ask("/");
    }

    private Socket ask(String path) throws Exception {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort());
        caller.setSoTimeout(30_000);
        caller.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: gateway\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return caller;
    }
}
