package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.exchange.OpenRequests.OpenRequest;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.FalsePromise;
import org.cranberrygauge.runtime.http.ResponseFraming;

/**
 * A request that this host passes on to another one, since it reaches no backend server itself.
 *
 * <p>Invariants: a host that received the request completely is the last one, unless it states that the request did not
 * run; a response that names another request is not passed on, and states nothing; exactly one final response is given, at
 * the deadline at the latest; the other host learns when the caller disconnects. Not thread-safe.
 */
final class ForwardedRequest implements OpenRequest {

    /** The number of other hosts that are tried. */
    private static final int MAXIMUM_HOSTS = 3;

    /** The time that is reserved for the way of the response from the other host to this one, in milliseconds. */
    private static final long RETURN_MILLIS = 20;

    private static final int UNAVAILABLE_STATUS = 503;

    /** The logged value for a missing address or detail. */
    private static final String ABSENT = "-";

    private final ExchangeContext context;

    private final ProxyRequest request;

    private final CallerResponse response;

    /** The pool that serves the request. */
    private final Pool pool;

    /** How many backend servers the request may still be sent to. */
    private int remainingAttempts;

    /** Whether the request may have run before it was passed on. */
    private final boolean mayHaveRun;

    /** The hosts that are not tried yet. */
    private final List<NetworkAddress> hosts;

    private int tried;

    /** The host that is being tried; null before the first. */
    private NetworkAddress current;

    /** Null until a connection is established. */
    private HttpClientRequest hostRequest;

    /** Whether the request was sent to the current host. */
    private boolean sent;

    /** Whether the caller has received the start of a stream. */
    private boolean streaming;

    /** The headers of the last rejection that tells the caller when to come back. */
    private Optional<MultiMap> rejection = Optional.empty();

    private boolean ended;

    /** Why no response of the current host was passed on. */
    private String detail = ABSENT;

    private long deadlineTimer;

    ForwardedRequest(
            ExchangeContext context, ProxyRequest request, Pool pool, CallerResponse response, AttemptHistory history) {
        this.context = context;
        this.request = request;
        this.pool = pool;
        this.response = response;
        this.remainingAttempts = request.route().maximumAttempts() - history.sent();
        this.mayHaveRun = history.mayHaveRun();
        this.hosts = targets(context, request);
    }

    /** Returns the addresses of the hosts, in a random order, that may receive the request by the regions it may be sent to. */
    private static List<NetworkAddress> targets(ExchangeContext context, ProxyRequest request) {
        List<NetworkAddress> allowed = new ArrayList<>();
        for (ForwardingTarget target : context.blackboard().forwardingTargets()) {
            if (request.homes().allows(target.dataCentre(), context.regions())) {
                allowed.add(target.address());
            }
        }
        Collections.shuffle(allowed);
        return allowed;
    }

    void start() {
        context.open().add(this);
        response.onDisconnect(this::callerDisconnected);
        deadlineTimer = context.vertx().setTimer(Math.max(1, remainingMillis()), fired -> expire());
        tryNext();
    }

    private void tryNext() {
        sent = false;
        if (hosts.isEmpty() || tried == MAXIMUM_HOSTS || !mayBegin()) {
            rejectUnavailable();
            return;
        }
        tried++;
        current = hosts.remove(hosts.size() - 1);
        context.client().open(request, current).onSuccess(this::send).onFailure(failure -> {
            if (!ended) {
                tryNext();
            }
        });
    }

    /** Tells whether this host, which may stop, still passes the request on. */
    private boolean mayBegin() {
        return context.blackboard().stop().mayBegin(context.time().monotonicMillis(), request.deadlineMillis());
    }

    private void send(HttpClientRequest opened) {
        hostRequest = opened;
        opened.exceptionHandler(failure -> failBroken(opened, failure.getMessage()));
        if (ended) {
            opened.reset();
            return;
        }
        if (!mayBegin()) {
            opened.reset();
            rejectUnavailable();
            return;
        }
        sent = true;
        context.codec().copyRequest(request.headers(), opened.headers());
        new Forwarding(Optional.of(context.host()), Math.max(1, remainingMillis() - RETURN_MILLIS), remainingAttempts)
                .write(opened.headers());
        opened.send(request.body())
                .onSuccess(this::read)
                .onFailure(failure -> failBroken(opened, failure.getMessage()));
    }

    private void read(HttpClientResponse hostResponse) {
        if (ended || hostResponse.request() != hostRequest) {
            return;
        }
        hostResponse.exceptionHandler(failure -> failBroken(hostResponse.request(), failure.getMessage()));
        if (namesAnother(hostResponse)) {
            failBroken(hostResponse.request(), "response names another request");
            return;
        }
        OptionalInt rejected = Forwarding.takeNotRun(hostResponse.headers());
        if (rejected.isPresent()) {
            context.client().discard(hostResponse);
            if (hostResponse.statusCode() == UNAVAILABLE_STATUS) {
                rejection = Optional.of(hostResponse.headers());
            }
            continueAfter(rejected.getAsInt());
            return;
        }
        if (FalsePromise.isGiven(request.route().kind(), hostResponse.statusCode())) {
            context.events().emit(new ExchangeEvents.PromiseWithheld(request.id(), hostResponse.statusCode()));
            detail = "status " + hostResponse.statusCode();
            endUnknown(RejectReason.BACKEND_REJECTED_LATE);
            return;
        }
        boolean framed = ResponseFraming.isFramed(request.method(), hostResponse.statusCode(), hostResponse.headers());
        boolean unframedStream = !framed && request.route().kind().streams();
        if (unframedStream || ResponseFraming.isChunked(hostResponse.headers())) {
            readStream(hostResponse, framed);
        } else {
            readBuffered(hostResponse, framed);
        }
    }

    private boolean namesAnother(HttpClientResponse hostResponse) {
        return context.codec()
                .decodeResponse(hostResponse.statusCode(), hostResponse.headers())
                .requestId()
                .filter(id -> !id.equals(request.id()))
                .isPresent();
    }

    /**
     * Tries the next host after a rejection; if backend servers have received the request, that is a retry.
     *
     * @param attempts The number of backend servers that rejected the request at the last host.
     */
    private void continueAfter(int attempts) {
        remainingAttempts -= attempts;
        if (attempts == 0 || (remainingAttempts > 0 && acquireRetry())) {
            tryNext();
        } else {
            rejectUnavailable();
        }
    }

    private boolean acquireRetry() {
        return context.budgets()
                .of(pool.name())
                .tryAcquire(
                        context.time().monotonicMillis(), context.blackboard().budgetShare());
    }

    private void readBuffered(HttpClientResponse hostResponse, boolean framed) {
        Buffer body = Buffer.buffer();
        hostResponse.handler(bytes -> {
            if (body.length() + bytes.length() > BackendAttempt.MAXIMUM_BUFFERED_BYTES) {
                failBroken(hostResponse.request(), "response exceeds the buffer limit");
                return;
            }
            body.appendBuffer(bytes);
            request.memory().add(bytes.length());
            if (request.memory().pauses(hostResponse::resume)) {
                hostResponse.pause();
            }
        });
        hostResponse.endHandler(end -> {
            if (!ended) {
                response.forward(hostResponse.statusCode(), forwarded(hostResponse.headers()), body, framed);
                finish(hostResponse.statusCode());
            }
        });
    }

    private void readStream(HttpClientResponse hostResponse, boolean framed) {
        streaming = true;
        response.startStream(hostResponse.statusCode(), forwarded(hostResponse.headers()), framed);
        hostResponse.handler(bytes -> {
            if (ended) {
                return;
            }
            response.write(bytes);
            if (response.isFull()) {
                hostResponse.pause();
                response.onDrained(drained -> hostResponse.resume());
            }
        });
        hostResponse.endHandler(end -> {
            if (!ended) {
                response.endStream();
                finish(hostResponse.statusCode());
            }
        });
    }

    private MultiMap forwarded(MultiMap headers) {
        MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
        context.codec().copyResponse(headers, forwarded);
        return forwarded;
    }

    /** Ends the request because the connection to the host that has it broke, or its response is unusable; it may have run. */
    private void failBroken(HttpClientRequest broken, String reason) {
        if (ended || !sent || broken != hostRequest) {
            return;
        }
        detail = String.valueOf(reason);
        endUnknown(RejectReason.BACKEND_BROKE);
    }

    /** Does nothing, since a request that was passed on doesn't wait here. */
    @Override
    public void rejectUnlessBegins() {}

    @Override
    public void endWithHost() {
        endUnfinished(RejectReason.HOST_STOPPED, RejectReason.DRAINING);
    }

    /** Ends the request at its deadline. */
    private void expire() {
        endUnfinished(RejectReason.TIMED_OUT, RejectReason.EXPIRED);
    }

    private void endUnfinished(RejectReason unknown, RejectReason notRun) {
        if (ended) {
            return;
        }
        if (sent || mayHaveRun) {
            endUnknown(unknown);
        } else {
            reject(notRun);
        }
    }

    private void endUnknown(RejectReason reason) {
        ended = true;
        resetHostRequest();
        if (streaming) {
            response.abort();
            finish(0);
        } else {
            reject(reason);
        }
    }

    /** Rejects the request because no other host could serve it. */
    private void rejectUnavailable() {
        if (mayHaveRun) {
            reject(RejectReason.BACKEND_BROKE);
        } else if (rejection.isPresent()) {
            response.forward(UNAVAILABLE_STATUS, forwarded(rejection.get()), Buffer.buffer(), true);
            finish(UNAVAILABLE_STATUS);
        } else {
            reject(context.blackboard().draining() ? RejectReason.DRAINING : RejectReason.NO_BACKEND);
        }
    }

    private void reject(RejectReason reason) {
        response.reject(reason, reason.retryAfterMillis());
        finish(reason.status());
    }

    private void callerDisconnected() {
        if (ended) {
            return;
        }
        ended = true;
        resetHostRequest();
        finish(0);
    }

    private void resetHostRequest() {
        if (hostRequest != null) {
            hostRequest.reset();
        }
    }

    /** @param status The status of the response; 0 if a connection was closed. */
    private void finish(int status) {
        ended = true;
        request.memory().close();
        context.vertx().cancelTimer(deadlineTimer);
        context.open().remove(this);
        context.events()
                .emit(new ExchangeEvents.RequestForwarded(
                        request.id(),
                        current == null ? ABSENT : current.toString(),
                        tried,
                        status,
                        detail,
                        context.time().monotonicMillis() - request.receivedMillis()));
    }

    private long remainingMillis() {
        return request.deadlineMillis() - context.time().monotonicMillis();
    }
}
