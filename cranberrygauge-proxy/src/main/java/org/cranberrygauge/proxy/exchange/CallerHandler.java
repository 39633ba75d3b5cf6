package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.RequestAdmission;
import org.cranberrygauge.proxy.admission.RequestAdmission.Decision;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;

/**
 * Takes requests of callers: checks their framing, lets the gate decide, reads the body and starts the exchange.
 *
 * <p>Used by one thread.
 */
public final class CallerHandler implements Handler<HttpServerRequest> {

    /** The header with the length of the body. */
    private static final String CONTENT_LENGTH = "Content-Length";

    /** The header with the framing of the body. */
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The only framing that is understood besides a length. */
    private static final String CHUNKED = "chunked";

    /** The name of requests without an identifier, and of routes that don't exist. */
    private static final String NONE = "-";

    /** The pause between looks whether a request that came early can be taken, in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    /** The tools. */
    private final ExchangeContext context;

    /** Decides whether a request waits since the process has just started. */
    private final StartupGate hold = new StartupGate();

    /** Decides which requests are taken. */
    private final RequestAdmission gate;

    /**
     * Creates a handler.
     *
     * @param context The tools.
     * @param gate Decides which requests are taken.
     */
    public CallerHandler(ExchangeContext context, RequestAdmission gate) {
        this.context = context;
        this.gate = gate;
    }

    @Override
    public void handle(HttpServerRequest request) {
        long now = context.time().monotonicMillis();
        if (hold.holds(now, now, context.state())) {
            request.pause();
            holdOn(request, now);
            return;
        }
        take(request, now);
    }

    /**
     * Takes a request up once the process knows enough, or has waited long enough.
     *
     * @param request The request, whose body is paused.
     * @param arrivedMillis The monotonic time at which it arrived.
     */
    private void holdOn(HttpServerRequest request, long arrivedMillis) {
        if (request.response().closed()) {
            return;
        }
        if (hold.holds(context.time().monotonicMillis(), arrivedMillis, context.state())) {
            context.vertx().setTimer(LOOK_MILLIS, fired -> holdOn(request, arrivedMillis));
            return;
        }
        take(request, arrivedMillis);
        request.resume();
    }

    /**
     * Takes a request.
     *
     * @param request The request.
     * @param now The monotonic time at which it arrived.
     */
    private void take(HttpServerRequest request, long now) {
        CallerReply reply = new CallerReply(request, context.state()::draining);
        CallerHeaders head = context.dialect().readCaller(request.headers());
        ConfigurationView view = context.state().configuration();
        String host = request.getHeader("Host");
        if (isAmbiguous(request.headers()) || host == null || head.requestId().isEmpty()) {
            reply.closeAfterAnswer();
            reject(now, request, reply, head, RejectReason.BAD_REQUEST);
            return;
        }
        if (context.state().closing(now)) {
            reject(now, request, reply, head, RejectReason.DRAINING);
            return;
        }
        Decision decision = gate.decide(now, context.time().wallMillis(), view, host, path(request), head.key());
        if (decision.rejection().isPresent()) {
            reject(now, request, reply, head, decision.rejection().get());
            return;
        }
        Route route = decision.route().orElseThrow();
        Pool pool = view.configuration()
                .orElseThrow()
                .pools()
                .get(route.poolFor(head.requestId().get().hashCode()));
        if (pool == null) {
            reject(now, request, reply, head, RejectReason.NO_BACKEND);
            return;
        }
        long limit = view.configuration().orElseThrow().limits().bodyBytes();
        long wait = Math.min(route.timeoutMillis(), head.remainingMillis().orElse(Long.MAX_VALUE));
        readBody(request, limit, body -> {
            if (body.isEmpty()) {
                reply.closeAfterAnswer();
                reject(now, request, reply, head, RejectReason.BODY_TOO_LONG);
                return;
            }
            ProxyRequest taken = new ProxyRequest(
                    head.requestId().get(),
                    request.method(),
                    request.uri(),
                    host,
                    request.headers(),
                    body.get(),
                    head,
                    route,
                    pool,
                    decision.customer(),
                    decision.urgency(),
                    now,
                    now + wait);
            new Exchange(context, taken, reply).start();
        });
    }

    /**
     * Answers what can't be read as a request; what follows on the connection can't be trusted.
     *
     * @param request What was read.
     */
    void handleInvalid(HttpServerRequest request) {
        CallerReply reply = new CallerReply(request, context.state()::draining);
        reply.closeAfterAnswer();
        CallerHeaders head = context.dialect().readCaller(request.headers());
        reject(context.time().monotonicMillis(), request, reply, head, RejectReason.BAD_REQUEST);
    }

    /**
     * Reads the body up to a limit.
     *
     * @param request The request.
     * @param limit The limit in bytes.
     * @param done Takes the body, or nothing if it is too long.
     */
    private static void readBody(HttpServerRequest request, long limit, Handler<Optional<Buffer>> done) {
        Buffer body = Buffer.buffer();
        boolean[] over = new boolean[1];
        request.handler(bytes -> {
            if (over[0]) {
                return;
            }
            if (body.length() + (long) bytes.length() > limit) {
                over[0] = true;
                done.handle(Optional.empty());
                return;
            }
            body.appendBuffer(bytes);
        });
        request.endHandler(end -> {
            if (!over[0]) {
                done.handle(Optional.of(body));
            }
        });
    }

    /**
     * Gives an answer of the proxy's own before any exchange.
     *
     * @param now The present monotonic time in milliseconds.
     * @param request The request.
     * @param reply The answer.
     * @param head What the caller says.
     * @param reason The reason.
     */
    private void reject(
            long now, HttpServerRequest request, CallerReply reply, CallerHeaders head, RejectReason reason) {
        ConfigurationView view = context.state().configuration();
        request.exceptionHandler(failure -> {});
        reply.reject(reason);
        context.metrics().ended(NONE, NONE, reason.name());
        context.events()
                .emit(new ExchangeEvents.RequestRejected(
                        head.requestId().orElse(NONE),
                        reason.name(),
                        reason.status(),
                        view.configuration().map(known -> known.version()).orElse(-1L),
                        view.loggedAgeMillis(now)));
    }

    /**
     * Tells whether the end of the body is ambiguous, so that a part of it might be read as another request.
     *
     * @param headers The headers.
     * @return Whether it is ambiguous.
     */
    private static boolean isAmbiguous(MultiMap headers) {
        if (!headers.contains(TRANSFER_ENCODING)) {
            return headers.getAll(CONTENT_LENGTH).size() > 1;
        }
        return headers.contains(CONTENT_LENGTH)
                || headers.getAll(TRANSFER_ENCODING).size() > 1
                || !CHUNKED.equalsIgnoreCase(headers.get(TRANSFER_ENCODING).trim());
    }

    /**
     * Returns the path of a request.
     *
     * @param request The request.
     * @return The path without its query.
     */
    private static String path(HttpServerRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
