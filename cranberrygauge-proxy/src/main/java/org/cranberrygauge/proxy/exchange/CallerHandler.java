package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.admission.RequestAdmission;
import org.cranberrygauge.proxy.admission.RequestAdmission.Decision;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;

/**
 * Handles the requests of callers: checks their framing, applies admission, reads the body and starts the exchange. Not
 * thread-safe.
 */
public final class CallerHandler implements Handler<HttpServerRequest> {

    private static final String CONTENT_LENGTH = "Content-Length";

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The only supported transfer encoding. */
    private static final String CHUNKED = "chunked";

    /** The logged value for a missing request identifier, route or customer. */
    private static final String ABSENT = "-";

    /** The interval at which a request that arrived during startup is checked again. */
    private static final long RECHECK_MILLIS = 10;

    private final ExchangeContext context;

    private final StartupGate startupGate = new StartupGate();

    private final RequestAdmission admission;

    private final LoadShedding shedding;

    private final int maximumRequests;

    private final BooleanSupplier crowded;

    private final RequestStarter starter;

    /**
     * @param maximumRequests The maximum number of requests in progress.
     * @param crowded Tells whether callers should close their connections after a response.
     */
    public CallerHandler(
            ExchangeContext context,
            RequestAdmission admission,
            LoadShedding shedding,
            int maximumRequests,
            BooleanSupplier crowded) {
        this.context = context;
        this.admission = admission;
        this.shedding = shedding;
        this.maximumRequests = maximumRequests;
        this.crowded = crowded;
        this.starter = new RequestStarter(context.vertx(), context.time());
    }

    @Override
    public void handle(HttpServerRequest request) {
        handle(request, Forwarding.NONE);
    }

    /** Handles a request that another host passes on. */
    public void handleForwarded(HttpServerRequest request) {
        try {
            handle(request, Forwarding.take(request.headers()));
        } catch (IllegalArgumentException exception) {
            handleInvalidForwarded(request);
        }
    }

    private void handle(HttpServerRequest request, Forwarding forwarding) {
        context.open().recordArrival();
        long now = context.time().monotonicMillis();
        if (startupGate.mustWait(now, now, context.blackboard())) {
            request.pause();
            waitForState(request, forwarding, now);
            return;
        }
        process(request, forwarding, now);
    }

    /** Processes a request once the state is known or its maximum wait is over; its body is paused until then. */
    private void waitForState(HttpServerRequest request, Forwarding forwarding, long arrivedMillis) {
        if (request.response().closed()) {
            return;
        }
        if (startupGate.mustWait(context.time().monotonicMillis(), arrivedMillis, context.blackboard())) {
            context.vertx().setTimer(RECHECK_MILLIS, fired -> waitForState(request, forwarding, arrivedMillis));
            return;
        }
        process(request, forwarding, arrivedMillis);
        request.resume();
    }

    private void process(HttpServerRequest request, Forwarding forwarding, long now) {
        CallerResponse response = response(request, forwarding.from().isPresent());
        CallerHeaders callerHeaders = context.codec().decodeCaller(request.headers());
        callerHeaders.requestId().ifPresent(response::setRequestId);
        ConfigurationView view = context.blackboard().configuration();
        String host = request.getHeader("Host");
        if (hasAmbiguousFraming(request.headers())
                || host == null
                || callerHeaders.requestId().isEmpty()) {
            response.closeAfterResponse();
            reject(now, request, response, callerHeaders, RejectReason.BAD_REQUEST);
            return;
        }
        if (!context.blackboard().stop().mayBegin(now, now)) {
            rejectUnread(now, request, response, callerHeaders, RejectReason.DRAINING);
            return;
        }
        if (context.open().count() >= maximumRequests) {
            rejectUnread(now, request, response, callerHeaders, RejectReason.HOST_FULL);
            return;
        }
        Decision decision =
                admission.decide(now, context.time().wallMillis(), view, host, path(request), callerHeaders.key());
        if (decision.rejection().isPresent()) {
            reject(now, request, response, callerHeaders, decision.rejection().get());
            return;
        }
        Route route = decision.route().orElseThrow().withMaximumAttempts(forwarding.remainingAttempts());
        Pool pool = view.configuration()
                .orElseThrow()
                .pools()
                .get(route.poolFor(callerHeaders.requestId().get().hashCode()));
        if (pool == null) {
            reject(now, request, response, callerHeaders, RejectReason.NO_BACKEND);
            return;
        }
        if (shedding.mustShed(context.time().monotonicMillis(), route, callerHeaders, forwarding)) {
            rejectUnread(now, request, response, callerHeaders, RejectReason.HOST_OVERLOADED);
            return;
        }
        long maximumBytes = view.configuration().orElseThrow().limits().bodyBytes();
        long timeoutMillis =
                Math.min(route.timeoutMillis(), callerHeaders.remainingMillis().orElse(Long.MAX_VALUE));
        long deadlineMillis = now + Math.min(timeoutMillis, forwarding.remainingMillis());
        Reservation memory = context.memory().open();
        response.setStallMillis(route.targetMillis());
        Consumer<Buffer> start = body -> {
            ProxyRequest admitted = new ProxyRequest(
                    callerHeaders.requestId().get(),
                    request.method(),
                    request.uri(),
                    host,
                    request.headers(),
                    body,
                    callerHeaders,
                    route,
                    pool,
                    decision.customer(),
                    decision.urgency(),
                    now,
                    deadlineMillis,
                    decision.homes(),
                    forwarding.from().isPresent(),
                    memory);
            starter.submit(admitted, new Exchange(context, admitted, response));
        };
        Consumer<RejectReason> refuse = reason -> rejectBody(now, request, response, callerHeaders, reason);
        new BodyReader(context.vertx(), context.open(), maximumBytes, memory, start, refuse)
                .read(request, response, deadlineMillis - context.time().monotonicMillis());
    }

    /** @param forwarded Whether another host passes the request on. */
    private CallerResponse response(HttpServerRequest request, boolean forwarded) {
        BooleanSupplier draining = context.blackboard()::draining;
        BooleanSupplier closing = forwarded ? draining : () -> draining.getAsBoolean() || crowded.getAsBoolean();
        return new CallerResponse(request, context.memory(), closing, forwarded);
    }

    /** Rejects a malformed request. The connection is closed, since the start of the next request on it is unknown. */
    public void handleInvalid(HttpServerRequest request) {
        rejectInvalid(request, false);
    }

    /** Rejects a malformed request of another host. */
    public void handleInvalidForwarded(HttpServerRequest request) {
        rejectInvalid(request, true);
    }

    private void rejectInvalid(HttpServerRequest request, boolean forwarded) {
        CallerResponse response = response(request, forwarded);
        response.closeAfterResponse();
        CallerHeaders callerHeaders = context.codec().decodeCaller(request.headers());
        reject(context.time().monotonicMillis(), request, response, callerHeaders, RejectReason.BAD_REQUEST);
    }

    /** Rejects a request whose body was not read; the rest is discarded if the caller may go on with the connection. */
    private void rejectBody(
            long now,
            HttpServerRequest request,
            CallerResponse response,
            CallerHeaders callerHeaders,
            RejectReason reason) {
        if (reason == RejectReason.DRAINING) {
            rejectUnread(now, request, response, callerHeaders, reason);
            return;
        }
        if (reason != RejectReason.MEMORY_EXHAUSTED) {
            response.closeAfterResponse();
        }
        reject(now, request, response, callerHeaders, reason);
    }

    /** Rejects a request before the exchange starts. */
    private void reject(
            long now,
            HttpServerRequest request,
            CallerResponse response,
            CallerHeaders callerHeaders,
            RejectReason reason) {
        request.exceptionHandler(failure -> {});
        response.reject(reason, reason.retryAfterMillis());
        recordRejection(now, callerHeaders, reason);
    }

    /** Rejects a request before its body is read, so that its caller tries another host. */
    private void rejectUnread(
            long now,
            HttpServerRequest request,
            CallerResponse response,
            CallerHeaders callerHeaders,
            RejectReason reason) {
        request.exceptionHandler(failure -> {});
        response.rejectBeforeBody(context.vertx(), reason, reason.retryAfterMillis());
        recordRejection(now, callerHeaders, reason);
    }

    private void recordRejection(long now, CallerHeaders callerHeaders, RejectReason reason) {
        ConfigurationView view = context.blackboard().configuration();
        context.metrics().recordEnd(ABSENT, ABSENT, reason.name());
        context.events()
                .emit(new ExchangeEvents.RequestRejected(
                        callerHeaders.requestId().orElse(ABSENT),
                        reason.name(),
                        reason.status(),
                        view.configuration().map(known -> known.version()).orElse(-1L),
                        view.loggedAgeMillis(now)));
    }

    /**
     * Tells whether the end of the body is ambiguous, so that a part of it could be read as another request (request
     * smuggling).
     */
    private static boolean hasAmbiguousFraming(MultiMap headers) {
        if (!headers.contains(TRANSFER_ENCODING)) {
            return headers.getAll(CONTENT_LENGTH).size() > 1;
        }
        return headers.contains(CONTENT_LENGTH)
                || headers.getAll(TRANSFER_ENCODING).size() > 1
                || !CHUNKED.equalsIgnoreCase(headers.get(TRANSFER_ENCODING).trim());
    }

    /** Returns the path without the query. */
    private static String path(HttpServerRequest request) {
        String uri = request.uri();
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
