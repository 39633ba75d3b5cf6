package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.memory.Reservation;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.cranberrygauge.decision.quarantine.RunId;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.gateway.schedule.PendingCall;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.model.service.Repetition;
import org.cranberrygauge.runtime.http.ResponseBody;
import org.cranberrygauge.runtime.http.ResponseFraming;

/**
 * One call to a plain service, from admission to the end of its response.
 *
 * <p>Invariants: a call on an at-most-once route is sent at most once; a failure states "not run" exactly if no byte
 * was sent; a reserved call is sent only after its reservation won; a call on an at-most-once route continues after its
 * caller was answered or disconnected, so that its outcome is recorded; a response that only ends with its connection
 * does so for the caller, too, and its body is not replayed. Used on the context of the caller's connection, except for
 * the methods that state otherwise.
 */
public final class ServiceCall implements ActiveCall {

    /** The number of attempts after which an idempotent call fails. */
    private static final int MAX_ATTEMPTS = 3;

    private final CallDependencies dependencies;

    private final Caller caller;

    private final CallTelemetry events;

    private final ServiceRequest request;

    private final CallerReply reply;

    private final long requestNumber;

    private final long arrivedAtMillis;

    /** The backend server that the call is running on, or null. */
    private BackendServer server;

    /** The request to the backend server, or null. */
    private HttpClientRequest backendRequest;

    private int attempts;

    private final RequestFingerprint fingerprint;

    private long attemptAtMillis;

    /** Whether the caller was answered while the call is still running. */
    private boolean detached;

    private final CallReservation reservation;

    /** Whether any byte may have reached a backend server. */
    private boolean sent;

    private boolean ended;

    public ServiceCall(
            CallDependencies dependencies,
            Caller caller,
            ServiceRequest request,
            CallerReply reply,
            long requestNumber) {
        this.dependencies = dependencies;
        this.caller = caller;
        this.events = new CallTelemetry(dependencies, caller, reply.requestId());
        this.request = request;
        this.reply = reply;
        this.requestNumber = requestNumber;
        this.arrivedAtMillis = dependencies.time().monotonicMillis();
        this.reservation = new CallReservation(dependencies, reply.requestId());
        this.fingerprint =
                RequestFingerprint.of(caller.customer().name(), request.route().pathPrefix(), request.digest());
    }

    /** Registers the call, reserves it if it needs a reservation, and submits it to the scheduler. */
    public void begin() {
        dependencies.activeCalls().add(this);
        reply.onDisconnect(this::onCallerDisconnected);
        if (!isAtMostOnce() || request.idempotencyKey() == null) {
            submit();
            return;
        }
        reservation
                .reserve(caller, request)
                .onComplete(
                        decision -> reply.context().runOnContext(ignored -> onDecision(decision)),
                        failure -> reply.context().runOnContext(ignored -> end(CallReservation.refusal(failure))));
    }

    @Override
    public KeyDigest key() {
        return caller.key();
    }

    @Override
    public void abort(RequestFailure failure) {
        reply.context().runOnContext(ignored -> {
            RequestFailure corrected = failure.withNotRun(!sent);
            if (sent && isAtMostOnce()) {
                detach(corrected);
            } else {
                end(corrected);
            }
        });
    }

    @Override
    public void recheckQueued() {
        reply.context().runOnContext(ignored -> {
            if (!ended && server == null && !sent) {
                dependencies.refusal(fingerprint, false).ifPresent(this::end);
            }
        });
    }

    /** Answers the caller while the call continues in the background. */
    private void detach(RequestFailure failure) {
        if (ended || detached) {
            return;
        }
        detached = true;
        events.refused(failure);
        reply.fail(failure);
    }

    private void onDecision(ReservationDecision decision) {
        if (decision instanceof ReservationDecision.Answered answered) {
            replayResponse(answered.outcome());
        } else if (decision != ReservationDecision.Won.INSTANCE) {
            end(CallReservation.refusal(decision));
        } else {
            reservation.markWon();
            if (ended) {
                reservation.recordNoResponse(false);
            } else {
                submit();
            }
        }
    }

    /** Replays the recorded response of the original call. */
    private void replayResponse(ReservationOutcome outcome) {
        if (!outcome.bodyKept()) {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.ANSWER_NOT_KEPT,
                    "the call ran with status " + outcome.status() + "; its answer is not kept"));
            return;
        }
        ended = true;
        dependencies.activeCalls().remove(this);
        reply.answer(outcome.status(), outcome.contentType(), Buffer.buffer(outcome.body()));
    }

    /** Queues the call for a backend server, unless it is quarantined or this gateway stops. */
    private void submit() {
        Optional<RequestFailure> rejection = dependencies.refusal(fingerprint, false);
        if (rejection.isPresent()) {
            end(rejection.get().withNotRun(!sent));
            return;
        }
        long nowMillis = dependencies.time().monotonicMillis();
        QueuedRequest queued = new QueuedRequest(
                requestNumber,
                caller.customer().name(),
                caller.customer().weight(),
                caller.serviceClass().name(),
                request.route().service(),
                1,
                arrivedAtMillis,
                nowMillis + caller.serviceClass().longestWaitMillis());
        dependencies
                .scheduler()
                .submit(new PendingCall(
                        queued,
                        new RoutingRequest(request.route().service(), "", 0),
                        dependencies.quarantine().eligibility(fingerprint, nowMillis),
                        this::onBackendChosen,
                        refusal -> reply.context().runOnContext(ignored -> onRefused(refusal))));
    }

    /** Called on the thread of the scheduler once a backend server was chosen. */
    private void onBackendChosen(BackendServer chosen) {
        dependencies.quarantine().started(runId(attempts + 1), chosen);
        reply.context().runOnContext(ignored -> start(chosen));
    }

    private void start(BackendServer chosen) {
        dependencies.stopRefusal(false).ifPresent(refusal -> end(refusal.withNotRun(!sent)));
        if (ended) {
            dependencies.quarantine().ended(runId(attempts + 1));
            dependencies.scheduler().attemptEnded(requestNumber, chosen);
            return;
        }
        attempts++;
        attemptAtMillis = dependencies.time().monotonicMillis();
        server = chosen;
        String attempt = reply.requestId() + "-" + attempts;
        boolean ownConnection = isAtMostOnce() || attempts > 1;
        events.started(attempt, chosen, dependencies.time().monotonicMillis() - arrivedAtMillis);
        dependencies
                .client()
                .open(
                        chosen,
                        HttpMethod.valueOf(request.method()),
                        request.uri(),
                        attempt,
                        ownConnection,
                        request.headers())
                .onSuccess(this::send)
                .onFailure(failure ->
                        onAttemptFailed(new AttemptFailure(AttemptFailure.Kind.NOT_CONNECTED, "no connection")));
    }

    private void send(HttpClientRequest opened) {
        if (ended) {
            opened.reset();
            return;
        }
        backendRequest = opened;
        sent = true;
        opened.send(request.body())
                .compose(response -> readBody(response).compose(body -> onResponse(response, body)))
                .onFailure(failure -> onAttemptFailed(AttemptFailure.broken(failure, "connection lost")));
    }

    /**
     * Reads a body. Fails if no byte comes for the timeout, which that of the request does not cover, or if the body is too
     * long.
     */
    private Future<Buffer> readBody(HttpClientResponse response) {
        Promise<Buffer> whole = Promise.promise();
        InactivityTimer inactivity = new InactivityTimer(
                reply.context().owner(),
                dependencies.time(),
                dependencies.client().idleTimeoutMillis(),
                () -> whole.tryFail(new TimeoutException("no byte of the body received within the timeout")));
        Reservation memory = dependencies.responses().open();
        ResponseBody.read(response, ResponseMemory.MAX_RESPONSE_BYTES, bytes -> {
                    inactivity.recordActivity();
                    ResponseMemory.add(memory, bytes, response, reply.context());
                })
                .onSuccess(whole::tryComplete)
                .onFailure(whole::tryFail);
        inactivity.start();
        return whole.future().onComplete(done -> {
            inactivity.stop();
            memory.close();
        });
    }

    private Future<Void> onResponse(HttpClientResponse response, Buffer body) {
        if (ended) {
            return Future.succeededFuture();
        }
        if (!BackendClient.answers(response, reply.requestId() + "-" + attempts)) {
            onAttemptFailed(new AttemptFailure(AttemptFailure.Kind.INVALID_ANSWER, "response to another attempt"));
            return Future.succeededFuture();
        }
        String contentType = response.getHeader("Content-Type");
        String type = contentType == null ? "application/octet-stream" : contentType;
        boolean framed =
                ResponseFraming.isFramed(response.request().getMethod(), response.statusCode(), response.headers());
        reservation.recordResponse(response.statusCode(), type, body, framed);
        release();
        close();
        if (framed) {
            dependencies.quarantine().completed(fingerprint);
        }
        retryBudget().succeeded();
        if (framed) {
            reply.answer(response.statusCode(), type, body);
        } else {
            reply.answerUntilClose(response.statusCode(), type, body);
        }
        events.succeeded(0, dependencies.time().monotonicMillis() - arrivedAtMillis);
        return Future.succeededFuture();
    }

    private void onAttemptFailed(AttemptFailure failure) {
        if (ended) {
            return;
        }
        if (backendRequest != null) {
            backendRequest.reset();
        }
        BackendServer failedServer = server;
        dependencies.backends().recordFailure(dependencies.time().monotonicMillis(), failedServer);
        release();
        if (failure.kind() != AttemptFailure.Kind.CONNECTION_LOST) {
            retryOrFail(failedServer, failure);
            return;
        }
        dependencies
                .quarantine()
                .connectionLost(fingerprint, failedServer, attemptAtMillis)
                .onSuccess(crashed -> events.connectionLost(reply.requestId() + "-" + attempts, failedServer, crashed))
                .onComplete(crashResult -> reply.context().runOnContext(ignored -> retryOrFail(failedServer, failure)));
    }

    /**
     * Submits the call again after a failed attempt, or fails it if it is quarantined, must not be repeated, or has
     * exhausted its attempts or its retry budget.
     */
    private void retryOrFail(BackendServer failedServer, AttemptFailure failure) {
        if (ended) {
            return;
        }
        Optional<RequestFailure> quarantined = dependencies.quarantine().refusal(fingerprint);
        boolean mayRepeat = (!isAtMostOnce() || !sent) && quarantined.isEmpty() && !reply.isClosed();
        boolean again = mayRepeat && attempts < MAX_ATTEMPTS && retryBudget().tryRetry();
        String next = again ? "retry" : "give_up";
        events.attemptFailed(reply.requestId() + "-" + attempts, failedServer, failure, next);
        if (again) {
            submit();
        } else if (isAtMostOnce() && sent) {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.OUTCOME_UNKNOWN, "the outcome of this call is unknown; it is not run again"));
        } else {
            RequestFailure last =
                    new RequestFailure(failure.code(), "the service failed: " + failure.reason(), !sent, 0);
            end(quarantined.orElse(last).withNotRun(!sent));
        }
    }

    private void onRefused(Refusal refusal) {
        if (!ended) {
            end(new RequestFailure(
                    refusal.code(), "no capacity for this class now", !sent, refusal.retryAfterMillis()));
        }
    }

    /**
     * Drops a queued call. A call on an at-most-once route that was sent continues, so that its outcome is recorded.
     */
    private void onCallerDisconnected() {
        if (sent && isAtMostOnce()) {
            return;
        }
        end(RequestFailure.notRun(ErrorCode.INTERNAL, "the caller disconnected").withNotRun(!sent));
    }

    private void end(RequestFailure failure) {
        if (ended) {
            return;
        }
        dependencies.scheduler().cancel(requestNumber);
        reservation.recordNoResponse(sent);
        if (server != null) {
            release();
        }
        if (backendRequest != null) {
            backendRequest.reset();
        }
        close();
        if (!detached) {
            events.refused(failure);
        }
        reply.fail(failure);
    }

    /** Marks the call as ended and accounts for its usage. */
    private void close() {
        ended = true;
        dependencies.activeCalls().remove(this);
        if (sent) {
            UsageKey usageKey =
                    new UsageKey(caller.customer().name(), caller.serviceClass().name());
            dependencies.usage().count(usageKey, new UsageFigures(1, 0, 0));
        }
    }

    private void release() {
        dependencies.quarantine().ended(runId(attempts));
        dependencies.scheduler().attemptEnded(requestNumber, server);
        server = null;
    }

    private RunId runId(int attemptNumber) {
        return new RunId(fingerprint, reply.requestId() + "-" + attemptNumber);
    }

    private RetryBudget retryBudget() {
        return dependencies
                .retries()
                .of(caller.customer().name(), caller.serviceClass().name());
    }

    private boolean isAtMostOnce() {
        return request.route().repetition() == Repetition.AT_MOST_ONCE;
    }
}
