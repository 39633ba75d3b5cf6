package org.cranberrygauge.proxy.exchange;

import io.netty.util.concurrent.EventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.internal.VertxInternal;
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
import org.cranberrygauge.decision.backend.BackendStatement;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.configuration.Homes;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.routing.Prompt;
import org.cranberrygauge.runtime.event.Event;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/** A host that passes each request on to one other host. Its requests are sent by one thread at a time. */
final class ForwardingHost implements AutoCloseable {

    static final int TIMEOUT_MILLIS = 6_000;

    /** The reads of each event loop after which what follows from the first one is done. */
    private static final int ROUNDS_UNTIL_READ = 3;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

    /** What the host logged. */
    final Queue<Event> events = new ConcurrentLinkedQueue<>();

    /** The time that each request has, in milliseconds. */
    volatile long deadlineMillis = 5_000;

    /** The kind of the requests. */
    volatile RouteKind kind = RouteKind.IDEMPOTENT;

    private final ExchangeContext context = context();

    private final int front;

    ForwardingHost(NetworkAddress other) throws Exception {
        context.blackboard().publishForwardingTargets(List.of(new ForwardingTarget(other, "east-a")));
        front = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> forward(request, body)))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    @Override
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /**
     * Returns when the event loops have read all that had arrived at their sockets before. A loop reads before it runs a task
     * that one of its tasks has scheduled.
     */
    void settle() throws Exception {
        for (int round = 0; round < ROUNDS_UNTIL_READ; round++) {
            for (EventExecutor loop : ((VertxInternal) vertx).nettyEventLoopGroup()) {
                loop.submit(() -> loop.schedule(() -> {}, 1, TimeUnit.NANOSECONDS))
                        .get()
                        .get();
            }
        }
    }

    /** Sends a request, and returns all that is answered. */
    String ask(String id) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), front)) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            String request = "POST /work/ HTTP/1.1\r\nHost: api.example\r\nX-Id: " + id + "\r\nConnection: close\r\n"
                    + "Content-Length: " + ScriptedHost.BODY.length() + "\r\n\r\n" + ScriptedHost.BODY;
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
                now + deadlineMillis,
                Homes.ANYWHERE,
                false,
                context.memory().open());
        CallerResponse response = new CallerResponse(request, context.memory(), () -> false, false);
        new ForwardedRequest(context, passedOn, ProxyFixtures.ENGINES, response, AttemptHistory.NONE).start();
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
