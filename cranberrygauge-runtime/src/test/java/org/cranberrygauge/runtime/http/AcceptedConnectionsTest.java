package org.cranberrygauge.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.decision.connection.ConnectionLimits;
import org.cranberrygauge.runtime.event.Event;
import org.cranberrygauge.runtime.http.ConnectionEvents.AcceptedConnectionClosed;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that are kept open without use, or with too slow a head, until no descriptor is left. */
class AcceptedConnectionsTest {

    private static final int TIMEOUT_MILLIS = 10_000;

    private static final String REQUEST = "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n";

    private static final String SLOW_REQUEST = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";

    private static final String LARGE_REQUEST = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";

    /** More than the buffers of both sockets hold. */
    private static final int LARGE_BYTES = 64 << 20;

    private final Vertx vertx = Vertx.vertx();

    private final AtomicLong nowMillis = new AtomicLong();

    private final Queue<Event> events = new ConcurrentLinkedQueue<>();

    /** The requests that are not answered yet. */
    private final Queue<HttpServerRequest> slow = new ConcurrentLinkedQueue<>();

    private final List<Socket> sockets = new ArrayList<>();

    private volatile ConnectionLimits limits = new ConnectionLimits(4_000, 2_000, 100);

    private AcceptedConnections connections;

    private Context context;

    private int port;

    @BeforeEach
    void start() throws Exception {
        connections = new AcceptedConnections(
                "callers",
                new ManualTime(),
                () -> limits,
                new ConnectionMetrics(new PrometheusRegistry()),
                events::add);
        context = vertx.getOrCreateContext();
        HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
        HttpServer server = vertx.createHttpServer(options);
        connections.serve(server, options, opened -> {}, this::handle, this::handle);
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        context.runOnContext(run -> server.listen(0, "127.0.0.1").onSuccess(listening::complete));
        port = listening.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).actualPort();
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
        get(vertx.close());
    }

    @Test
    void closesAConnectionThatWasUsedOnceAndOneThatWasNeverUsed() throws Exception {
        Socket used = open();
        Socket unused = open();
        ask(used, REQUEST);
        pass(3_999);
        ask(used, REQUEST);
        pass(1);
        assertThat(ended(unused)).isTrue();
        pass(3_999);
        assertThat(ended(used)).isTrue();
        assertThat(closed()).extracting(AcceptedConnectionClosed::reason).containsExactly("IDLE", "IDLE");
        assertThat(closed()).extracting(AcceptedConnectionClosed::requests).containsExactly(0, 2);
    }

    @Test
    void closesAConnectionOnWhichAHeadIsNeverCompletedHoweverOftenAByteComes() throws Exception {
        Socket half = open();
        Socket drops = open();
        write(half, "GET / HTTP/1.1\r\nHost:");
        write(drops, "GET / HTTP/1.1\r\nX-A: ");
        pass(0);
        for (int waitedMillis = 0; waitedMillis < 2_000; waitedMillis += 100) {
            write(drops, "a");
            pass(100);
        }
        assertThat(ended(half)).isTrue();
        assertThat(ended(drops)).isTrue();
        assertThat(closed())
                .extracting(AcceptedConnectionClosed::reason)
                .containsExactly("HEAD_TIMEOUT", "HEAD_TIMEOUT");
    }

    @Test
    void keepsAConnectionOnWhichAHeadComesInPartsWithinItsTimeout() throws Exception {
        Socket socket = open();
        pass(3_900);
        for (String part : List.of("GET /quick ", "HTTP/1.1\r\n", "Host:", " a\r\n", "\r\n")) {
            write(socket, part);
            pass(300);
        }
        assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
        ask(socket, REQUEST);
        assertThat(closed()).isEmpty();
    }

    @Test
    void keepsAConnectionWhoseRequestTakesLongerThanTheIdleTimeout() throws Exception {
        Socket socket = open();
        write(socket, SLOW_REQUEST);
        awaitSlow(1);
        pass(1_000_000);
        answerSlow();
        assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
        pass(3_200);
        ask(socket, REQUEST);
        assertThat(closed()).isEmpty();
    }

    @Test
    void keepsAConnectionThatIsReusedAtFourFifthsOfTheIdleTimeout() throws Exception {
        Socket socket = open();
        for (int request = 0; request < 20; request++) {
            ask(socket, REQUEST);
            pass(3_200);
        }
        assertThat(closed()).isEmpty();
    }

    @Test
    void answersARequestThatWasSentBeforeItsConnectionIsClosedAsIdle() throws Exception {
        Socket socket = open();
        ask(socket, REQUEST);
        CompletableFuture<Void> blocked = new CompletableFuture<>();
        CompletableFuture<Void> sent = new CompletableFuture<>();
        context.runOnContext(run -> {
            blocked.complete(null);
            sent.join();
            nowMillis.addAndGet(4_000);
            connections.closeOverdue();
        });
        blocked.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        write(socket, REQUEST);
        sendOnAnotherConnection();
        sent.complete(null);
        assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
        assertThat(closed()).isEmpty();
    }

    @Test
    void takesTheTimeoutsThatAreInForceAtThatTime() throws Exception {
        Socket socket = open();
        ask(socket, REQUEST);
        pass(3_000);
        limits = new ConnectionLimits(12_000, 2_000, 100);
        pass(6_000);
        ask(socket, REQUEST);
        pass(9_000);
        limits = new ConnectionLimits(4_000, 2_000, 100);
        pass(1);
        assertThat(ended(socket)).isTrue();
    }

    /** Guards against a connection that stays open for good since its peer has stopped to read a response. */
    @Test
    void closesAConnectionWhosePeerHasStoppedReadingAResponse() throws Exception {
        Socket socket = open();
        write(socket, LARGE_REQUEST);
        assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
        for (int check = 0; check < 4; check++) {
            pass(4_000);
        }
        assertThat(closed()).extracting(AcceptedConnectionClosed::reason).containsExactly("NOT_READING");
        assertThat(openConnections()).isZero();
    }

    @Test
    void displacesTheConnectionThatHasWaitedLongestSoThatANewOneIsServed() throws Exception {
        limits = new ConnectionLimits(4_000, 2_000, 8);
        List<Socket> kept = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            Socket socket = open();
            assertThat(ask(socket, REQUEST)).startsWith("HTTP/1.1 200");
            kept.add(socket);
            pass(1);
        }
        assertThat(openConnections()).isEqualTo(8);
        for (int number = 0; number < 32; number++) {
            assertThat(ended(kept.get(number))).isTrue();
        }
        ask(kept.get(39), REQUEST);
        assertThat(closed()).extracting(AcceptedConnectionClosed::reason).containsOnly("DISPLACED");
    }

    @Test
    void displacesNoConnectionWithARequestInProgress() throws Exception {
        limits = new ConnectionLimits(4_000, 2_000, 8);
        List<Socket> busy = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            Socket socket = open();
            write(socket, SLOW_REQUEST);
            busy.add(socket);
            awaitSlow(number + 1);
        }
        Socket refused = open();
        assertThat(ended(refused)).isTrue();
        assertThat(closed()).extracting(AcceptedConnectionClosed::reason).containsExactly("REFUSED");
        answerSlow();
        for (Socket socket : busy) {
            assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
        }
    }

    private void handle(HttpServerRequest request) {
        if ("/slow".equals(request.path())) {
            slow.add(request);
        } else if ("/large".equals(request.path())) {
            request.response().end(Buffer.buffer(new byte[LARGE_BYTES]));
        } else {
            request.response().end();
        }
    }

    private void awaitSlow(int requests) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (slow.size() < requests) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
            Thread.onSpinWait();
        }
    }

    private void answerSlow() {
        context.runOnContext(run -> slow.forEach(request -> request.response().end()));
    }

    /** Advances the time, and closes what is overdue then, once all that was sent before has been read. */
    private void pass(long millis) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(run -> vertx.setTimer(
                1,
                read -> vertx.setTimer(1, next -> {
                    nowMillis.addAndGet(millis);
                    connections.closeOverdue();
                    vertx.setTimer(1, closed -> done.complete(null));
                })));
        done.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns once a byte has arrived on a connection of its own, and so what was sent before on others. */
    private static void sendOnAnotherConnection() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket sender = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket receiver = listener.accept()) {
            sender.getOutputStream().write(0);
            assertThat(receiver.getInputStream().read()).isZero();
        }
    }

    private long openConnections() throws Exception {
        CompletableFuture<Long> open = new CompletableFuture<>();
        context.runOnContext(run -> open.complete(connections.openConnections()));
        return open.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<AcceptedConnectionClosed> closed() {
        return events.stream()
                .filter(AcceptedConnectionClosed.class::isInstance)
                .map(AcceptedConnectionClosed.class::cast)
                .toList();
    }

    private Socket open() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(8 << 10);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(TIMEOUT_MILLIS);
        sockets.add(socket);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String ask(Socket socket, String request) throws IOException {
        write(socket, request);
        return readHead(socket);
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertThat(next).as("the connection stays open").isNotNegative();
            head.append((char) next);
        }
        return head.toString();
    }

    private static boolean ended(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }

    private static void get(Future<Void> future) throws Exception {
        future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A clock that the test sets. */
    private final class ManualTime implements TimeSource {

        @Override
        public long monotonicMillis() {
            return nowMillis.get();
        }

        @Override
        public long wallMillis() {
            return nowMillis.get();
        }
    }
}
