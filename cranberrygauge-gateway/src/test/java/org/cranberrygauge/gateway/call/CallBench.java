package org.cranberrygauge.gateway.call;

import io.netty.util.concurrent.EventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.internal.VertxInternal;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.dispatch.DispatchPolicy;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.decision.retry.RetryBudgets;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationManager;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The path of calls between a caller's socket and those of backend servers, with a log in memory.
 *
 * <p>Paths that begin with {@link #ONCE} run at most once, those that begin with {@link #SAFE} may be repeated, and
 * {@link #CHAT} is a completion. Each server is listed under many names, so that one that rests after a failure delays no call.
 */
final class CallBench implements AutoCloseable {

    static final String ONCE = "/once";

    static final String SAFE = "/safe";

    static final String CHAT = ChatBody.CHAT_PATH;

    /** The time without a byte after which an attempt fails in milliseconds. */
    static final long BACKEND_TIMEOUT_MILLIS = 5_000;

    /** The memory of the gateway for responses. */
    static final int RESPONSE_BYTES = 2 * ResponseMemory.MAX_RESPONSE_BYTES;

    /** The number of names under which each server is listed. */
    private static final int NAMES = 200;

    /** The reads of each event loop after which what follows from the first one is done. */
    private static final int ROUNDS_UNTIL_READ = 3;

    private static final int CALLER_TIMEOUT_MILLIS = 30_000;

    private static final ServiceClass CLASS = new ServiceClass("chat", 0, 1, 1_000, 100, 10_000, 100);

    private static final Customer CUSTOMER = new Customer("alpha", 1, List.of(), Set.of("chat"));

    private final Vertx vertx = Vertx.vertx();

    private final TimeSource time = TimeSource.System.INSTANCE;

    private final AtomicLong requestCount = new AtomicLong();

    private final AtomicLong offset = new AtomicLong();

    private final Reservations reservations = new Reservations();

    private final ReservationManager manager = new ReservationManager(vertx, this::append, reservations, 60_000);

    private final List<ReservationOutcome> outcomes = new CopyOnWriteArrayList<>();

    /** What the gateway still begins. */
    final AtomicReference<PlannedStop> stop = new AtomicReference<>(PlannedStop.NONE);

    private final CallDependencies dependencies;

    private final HttpServer callers;

    CallBench(RawServer... servers) throws Exception {
        Blackboard blackboard = new Blackboard(time.monotonicMillis());
        blackboard.publish(listed(servers));
        BackendTableUpdater backends = new BackendTableUpdater(blackboard, "host");
        Scheduler scheduler = new Scheduler(DispatchPolicy.standard(), backends, time, new Random(1), ejection -> {});
        scheduler.configure(List.of(CLASS));
        vertx.setPeriodic(5, timer -> scheduler.tick());
        dependencies = new CallDependencies(
                scheduler,
                backends,
                new BackendClient(vertx, "credential", BACKEND_TIMEOUT_MILLIS, EventLog.NoOp.INSTANCE),
                new ResponseMemory(RESPONSE_BYTES),
                manager,
                new RetryBudgets.PerCustomer(() -> new RetryBudget.Share(1, 1_000)),
                new QuarantineEnforcer(
                        vertx,
                        Quarantine.Disabled.INSTANCE,
                        new CrashDetector(vertx, backends, time),
                        time,
                        () -> {},
                        "gateway",
                        () -> List.of("gateway")),
                new UsageCounter("gateway"),
                new GatewayMetrics(new PrometheusRegistry()),
                EventLog.NoOp.INSTANCE,
                new ActiveCalls(),
                time,
                stop::get,
                "gateway");
        callers = get(vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> dispatch(request, body)))
                .listen(0, "127.0.0.1"));
    }

    ActiveCalls activeCalls() {
        return dependencies.activeCalls();
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

    /** Returns the outcomes of reserved calls in the order in which they were recorded. */
    List<ReservationOutcome> outcomes() {
        return List.copyOf(outcomes);
    }

    /**
     * Sends a request and returns all bytes of the response, until its connection is closed.
     *
     * @param key The idempotency key, or an empty text.
     * @throws IOException If the connection is reset.
     */
    String ask(String method, String path, String key, String body) throws IOException {
        return ask(method, path, key, body, "Connection: close\r\n");
    }

    /** Sends a request, and returns its connection, of which nothing is read. */
    Socket open(String path, String body) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), callers.actualPort());
        socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
        write(socket, "POST", path, "Connection: close\r\n", body);
        return socket;
    }

    /**
     * Sends a request on a connection that the caller would use again, and returns all bytes of the response until the
     * gateway closes the connection.
     *
     * @throws IOException If the connection is reset.
     */
    String askUntilClose(String method, String path) throws IOException {
        return ask(method, path, "", "", "");
    }

    private String ask(String method, String path, String key, String body, String header) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callers.actualPort())) {
            socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
            String named = key.isEmpty() ? "" : "Idempotency-Key: " + key + "\r\n";
            write(socket, method, path, header + named, body);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void write(Socket socket, String method, String path, String headers, String body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: gateway\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    }

    private void dispatch(HttpServerRequest request, Buffer body) {
        long number = requestCount.incrementAndGet();
        CallerReply reply = new CallerReply(request, vertx.getOrCreateContext(), "gateway." + number);
        Caller caller = new Caller(CUSTOMER, null, CLASS);
        if (request.path().equals(CHAT)) {
            try {
                new ChatCall(dependencies, caller, ChatBody.read(CHAT, body), reply, number).begin();
            } catch (CranberrygaugeException exception) {
                throw new IllegalArgumentException(exception);
            }
            return;
        }
        boolean once = request.path().startsWith(ONCE);
        ServiceRoute route = new ServiceRoute(
                once ? ONCE : SAFE,
                request.method().name(),
                "service",
                "chat",
                once ? Repetition.AT_MOST_ONCE : Repetition.IDEMPOTENT,
                true,
                false,
                "");
        ServiceRequest call = new ServiceRequest(
                route, request.method().name(), request.uri(), Map.of(), body, request.getHeader("Idempotency-Key"));
        new ServiceCall(dependencies, caller, call, reply, number).begin();
    }

    /** Applies a record at once, as if it was read back from the log. */
    private Future<Long> append(LogRecord record) {
        long position = offset.incrementAndGet();
        if (record instanceof Reservation reservation) {
            ReservationDecision decision = reservations.reserve(position, time.wallMillis(), reservation);
            manager.accept(new ApplyResult.ReservationResult(reservation.reservationId(), decision));
        } else if (record instanceof ReservationOutcome outcome) {
            reservations.record(outcome);
            outcomes.add(outcome);
        }
        return Future.succeededFuture(position);
    }

    private static List<ListedBackendServer> listed(RawServer... servers) {
        List<ListedBackendServer> listed = new ArrayList<>();
        for (RawServer server : servers) {
            for (int number = 0; number < NAMES; number++) {
                NetworkAddress address = new NetworkAddress("127.0.0.1", server.port());
                BackendServer backend = new BackendServer(
                        "server-" + server.port() + "-" + number,
                        address,
                        "east-a",
                        BackendKind.SERVICE,
                        Set.of("service", "model"),
                        Supply.REGULAR,
                        64,
                        true);
                listed.add(new ListedBackendServer(backend, HostState.LIVE, "pool"));
            }
        }
        return listed;
    }

    private static <T> T get(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        get(vertx.close());
    }
}
