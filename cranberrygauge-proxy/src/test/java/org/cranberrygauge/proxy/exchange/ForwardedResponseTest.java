package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelOption;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.configuration.Homes;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.exchange.ExchangeEvents.RequestForwarded;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.routing.Prompt;
import org.cranberrygauge.runtime.event.Event;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of other hosts that are passed on although they don't belong to the request, or broke off. */
class ForwardedResponseTest {

    private static final int TIMEOUT_MILLIS = 6_000;

    private static final long DEADLINE_MILLIS = 5_000;

    private static final String BODY = "body";

    private final Vertx vertx = Vertx.vertx();

    private final Queue<Event> events = new ConcurrentLinkedQueue<>();

    /** What the other host writes for each request. */
    private volatile String answer = "";

    /** Whether it resets the connection in place of closing it. */
    private volatile boolean resets;

    /** Whether it keeps the connection open. */
    private volatile boolean keeps;

    /** The number of connections to the other host. */
    private final AtomicInteger connections = new AtomicInteger();

    private volatile RouteKind kind = RouteKind.IDEMPOTENT;

    private ExchangeContext context;

    private int front;

    @BeforeEach
    void start() throws Exception {
        NetServer host = vertx.createNetServer()
                .connectHandler(this::serve)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        context = context();
        NetworkAddress address = new NetworkAddress("127.0.0.1", host.actualPort());
        context.blackboard().publishForwardingTargets(List.of(new ForwardingTarget(address, "east-a")));
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> forward(request, body)));
        front = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Guards against the answer to another request that a host passes on (MIXED). */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\n\r\nwrong",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
                "Connection: close\r\n\r\nwrong"
            })
    void aResponseThatNamesAnotherRequestIsNotPassedOn(String rest) throws Exception {
        answer = "HTTP/1.1 200 OK\r\nX-Id: another\r\n" + rest;
        assertThat(ask("r-1")).startsWith("HTTP/1.1 502").doesNotContain("wrong");
        assertThat(awaitEnd().detail()).isEqualTo("response names another request");
    }

    /** Guards against the statement "not run" of another request for one that may have run (REFUSED). */
    @Test
    void aRejectionThatNamesAnotherRequestIsNoStatementAboutThisOne() throws Exception {
        answer = "HTTP/1.1 503 S\r\nX-Id: another\r\nCranberrygauge-Not-Run: 0\r\nContent-Length: 0\r\n\r\n";
        assertThat(ask("r-1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void responsesThatNameTheRequestOrNoneArePassedOn() throws Exception {
        keeps = true;
        answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";
        assertThat(ask("r-1")).startsWith("HTTP/1.1 200").endsWith("right");
        answer = "HTTP/1.1 200 OK\r\nX-Id: r-2\r\nContent-Length: 5\r\n\r\nright";
        assertThat(ask("r-2")).startsWith("HTTP/1.1 200").endsWith("right");
        assertThat(connections).hasValue(2);
    }

    /** Guards against a rejection by another host that counts as a broken connection, since it names no request. */
    @Test
    void aRejectionOnAKeptConnectionIsPassedOn() throws Exception {
        keeps = true;
        answer = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 5\r\n\r\nright";
        assertThat(ask("r-1")).startsWith("HTTP/1.1 200").endsWith("right");
        answer = "HTTP/1.1 503 S\r\nCranberrygauge-Not-Run: 0\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n";
        assertThat(ask("r-2")).startsWith("HTTP/1.1 503").contains("0.25");
        assertThat(connections).hasValue(1);
    }

    /** Guards against a success that is framed as whole although its head broke off between two hosts (MIXED, ORDER). */
    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void noHeadThatIsCutOffBetweenTwoHostsBecomesASuccess(RouteKind requested) throws Exception {
        kind = requested;
        for (String framing : List.of("Content-Length: 2", "Transfer-Encoding: chunked", "Connection: close")) {
            String head = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\n" + framing + "\r\n\r\n";
            for (int length = 0; length < head.length(); length++) {
                answer = head.substring(0, length);
                for (boolean reset : new boolean[] {false, true}) {
                    resets = reset;
                    assertThat(ask("r-1"))
                            .as(answer + " reset: " + reset)
                            .doesNotStartWith("HTTP/1.1 2")
                            .doesNotStartWith("HTTP/1.1 503");
                }
            }
        }
    }

    /** Returns what was logged at the end of the only request, which is shortly after its response. */
    private RequestForwarded awaitEnd() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (events.isEmpty()) {
            assertThat(System.nanoTime()).as("the end is logged in time").isLessThan(endNanos);
            Thread.onSpinWait();
        }
        return (RequestForwarded) events.element();
    }

    private String ask(String id) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), front)) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            String request = "POST /work/ HTTP/1.1\r\nHost: api.example\r\nX-Id: " + id + "\r\nConnection: close\r\n"
                    + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private void forward(HttpServerRequest request, Buffer body) {
        HeaderCodec.CallerHeaders callerHeaders = context.codec().decodeCaller(request.headers());
        long now = context.time().monotonicMillis();
        ProxyRequest passedOn = new ProxyRequest(
                callerHeaders.requestId().orElseThrow(),
                request.method(),
                request.uri(),
                "api.example",
                request.headers(),
                body,
                callerHeaders,
                ProxyFixtures.route(kind, 2),
                ProxyFixtures.ENGINES,
                Optional.empty(),
                5,
                now,
                now + DEADLINE_MILLIS,
                Homes.ANYWHERE,
                false,
                context.memory().open());
        CallerResponse response = new CallerResponse(request, context.memory(), () -> false, false);
        new ForwardedRequest(context, passedOn, ProxyFixtures.ENGINES, response, AttemptHistory.NONE).start();
    }

    private void serve(NetSocket socket) {
        connections.incrementAndGet();
        StringBuilder received = new StringBuilder();
        socket.handler(bytes -> {
            received.append(bytes.toString(StandardCharsets.US_ASCII));
            if (received.toString().endsWith("\r\n\r\n" + BODY)) {
                received.setLength(0);
                socket.write(answer).onComplete(written -> end(socket));
            }
        });
    }

    private void end(NetSocket socket) {
        if (keeps) {
            return;
        }
        if (resets) {
            ((ConnectionBase) socket).channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        socket.close();
    }

    /** Returns a context with what a request needs that is passed on. */
    private ExchangeContext context() {
        RequestMemory memory = new RequestMemory(
                Long.MAX_VALUE,
                TimeSource.System.INSTANCE,
                new ExchangeMetrics(new PrometheusRegistry()),
                EventLog.NoOp.INSTANCE);
        return new ExchangeContext(
                vertx,
                TimeSource.System.INSTANCE,
                "host-1",
                Map.of("east-a", "east"),
                new ProxyBlackboard(),
                new BackendClient(vertx, Codec.INSTANCE, EventLog.NoOp.INSTANCE),
                Codec.INSTANCE,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                memory,
                new OpenRequests(),
                null,
                null,
                null,
                events::add);
    }

    /** A codec that reads the identifier of the request and copies all headers but those of the framing. */
    private enum Codec implements HeaderCodec {
        INSTANCE;

        private static final String ID = "X-Id";

        @Override
        public CallerHeaders decodeCaller(MultiMap headers) {
            return new CallerHeaders(
                    Optional.ofNullable(headers.get(ID)),
                    OptionalLong.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Prompt.NONE);
        }

        @Override
        public void encodeBackend(MultiMap callerHeaders, BackendHeaders proxyHeaders, MultiMap target) {
            throw new UnsupportedOperationException("no request goes to a backend server");
        }

        @Override
        public boolean namesRequest(MultiMap responseHeaders) {
            return responseHeaders.contains(ID);
        }

        @Override
        public BackendResponseHeaders decodeResponse(int status, MultiMap headers) {
            return new BackendResponseHeaders(Optional.ofNullable(headers.get(ID)), false, true, BackendStatement.NONE);
        }

        @Override
        public void copyResponse(MultiMap responseHeaders, MultiMap target) {
            target.addAll(responseHeaders)
                    .remove("Content-Length")
                    .remove("Transfer-Encoding")
                    .remove("Connection");
        }

        @Override
        public void copyRequest(MultiMap callerHeaders, MultiMap target) {
            target.set(ID, callerHeaders.get(ID));
        }
    }
}
