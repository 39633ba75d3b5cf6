package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Optional;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
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

/**
 * One call to a plain service on its way.
 *
 * <p>Invariants: a call on an at-most-once route is sent at most once; before a byte was sent each refusal says "not run",
 * and after it none does; a reserved call is sent only after its reservation won; a call on an at-most-once route that was
 * sent goes on after its caller is answered or gone, so that its outcome is recorded. Used on the context of the caller's
 * connection, but for the methods that say otherwise.
 */
public final class ServiceCall implements ActiveCall {

    /** The number of attempts after which an idempotent call is given up. */
    private static final int ATTEMPTS = 3;

    /** What every request works with. */
    private final CallDependencies tools;

    /** Whose request it is. */
    private final Caller caller;

    /** Writes the events. */
    private final CallTelemetry events;

    /** The call. */
    private final ServiceRequest request;

    /** The answer to the caller. */
    private final CallerReply reply;

    /** The number of the request in this gateway. */
    private final long number;

    /** The monotonic time of the arrival. */
    private final long arrivedAtMillis;

    /** The backend server that the call runs on, or null. */
    private BackendServer server;

    /** The request to the backend server, or null. */
    private HttpClientRequest sending;

    /** The number of attempts so far. */
    private int attempts;

    /** What recognises the call when it is sent again. */
    private final RequestFingerprint fingerprint;

    /** The monotonic time of the start of the attempt. */
    private long attemptAtMillis;

    /** Whether the caller was answered while the call goes on. */
    private boolean detached;

    /** The reservation. */
    private final CallReservation reservation;

    /** Whether a byte may have reached a backend server. */
    private boolean sent;

    /** Whether the call has ended. */
    private boolean ended;

    /**
     * Creates a call.
     *
     * @param tools What every request works with.
     * @param caller Whose request it is.
     * @param request The call.
     * @param reply The answer to the caller.
     * @param number The number of the request in this gateway.
     */
    public ServiceCall(CallDependencies tools, Caller caller, ServiceRequest request, CallerReply reply, long number) {
        this.tools = tools;
        this.caller = caller;
        this.events = new CallTelemetry(tools, caller, reply.requestId());
        this.request = request;
        this.reply = reply;
        this.number = number;
        this.arrivedAtMillis = tools.time().monotonicMillis();
        this.reservation = new CallReservation(tools, reply.requestId());
        this.fingerprint =
                RequestFingerprint.of(caller.customer().name(), request.route().pathPrefix(), request.digest());
    }

    /** Reserves the call where needed and submits it. */
    public void begin() {
        tools.active().add(this);
        reply.onVanished(this::callerGone);
        if (!isAtMostOnce() || request.idempotencyKey() == null) {
            submit();
            return;
        }
        reservation
                .make(caller, request)
                .onComplete(
                        verdict -> reply.context().runOnContext(ignored -> judged(verdict)),
                        failure -> reply.context().runOnContext(ignored -> end(CallReservation.refusal(failure))));
    }

    @Override
    public KeyDigest key() {
        return caller.key();
    }

    @Override
    public void abort(RequestFailure failure) {
        reply.context().runOnContext(ignored -> {
            RequestFailure truthful = failure.withNotRun(!sent);
            if (sent && isAtMostOnce()) {
                detach(truthful);
            } else {
                end(truthful);
            }
        });
    }

    @Override
    public void reconsider() {
        reply.context().runOnContext(ignored -> {
            if (!ended && server == null && !sent) {
                tools.guard().refusal(fingerprint).ifPresent(this::end);
            }
        });
    }

    /**
     * Answers the caller now and lets the call go on.
     *
     * @param failure The answer.
     */
    private void detach(RequestFailure failure) {
        if (ended || detached) {
            return;
        }
        detached = true;
        events.refused(failure);
        reply.fail(failure);
    }

    /**
     * Acts on the verdict of the reservation.
     *
     * @param verdict The verdict.
     */
    private void judged(ReservationDecision verdict) {
        if (verdict instanceof ReservationDecision.Answered answered) {
            repeatAnswer(answered.outcome());
        } else if (verdict != ReservationDecision.Won.INSTANCE) {
            end(CallReservation.refusal(verdict));
        } else {
            reservation.won();
            if (ended) {
                reservation.unanswered(false);
            } else {
                submit();
            }
        }
    }

    /**
     * Answers with the recorded outcome of an earlier call.
     *
     * @param outcome The outcome.
     */
    private void repeatAnswer(ReservationOutcome outcome) {
        if (!outcome.bodyKept()) {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.ANSWER_NOT_KEPT,
                    "the call ran with status " + outcome.status() + "; its answer is not kept"));
            return;
        }
        ended = true;
        tools.active().remove(this);
        reply.answer(outcome.status(), outcome.contentType(), Buffer.buffer(outcome.body()));
    }

    /** Waits for a backend server, unless the call is held in quarantine. */
    private void submit() {
        Optional<RequestFailure> quarantined = tools.guard().refusal(fingerprint);
        if (quarantined.isPresent()) {
            end(quarantined.get().withNotRun(!sent));
            return;
        }
        long nowMillis = tools.time().monotonicMillis();
        QueuedRequest queued = new QueuedRequest(
                number,
                caller.customer().name(),
                caller.customer().weight(),
                caller.serviceClass().name(),
                request.route().service(),
                1,
                arrivedAtMillis,
                nowMillis + caller.serviceClass().longestWaitMillis());
        tools.scheduler()
                .submit(new PendingCall(
                        queued,
                        new RoutingRequest(request.route().service(), "", 0),
                        tools.guard().eligibility(fingerprint, nowMillis),
                        this::chosen,
                        refusal -> reply.context().runOnContext(ignored -> refused(refusal))));
    }

    /**
     * Takes the backend server that was chosen, on the thread that chose.
     *
     * @param chosen The backend server.
     */
    private void chosen(BackendServer chosen) {
        tools.guard().started(run(attempts + 1), chosen);
        reply.context().runOnContext(ignored -> start(chosen));
    }

    /**
     * Starts an attempt.
     *
     * @param chosen The backend server.
     */
    private void start(BackendServer chosen) {
        if (ended) {
            tools.guard().ended(run(attempts + 1));
            tools.scheduler().ended(number, chosen);
            return;
        }
        attempts++;
        attemptAtMillis = tools.time().monotonicMillis();
        server = chosen;
        String attempt = reply.requestId() + "-" + attempts;
        events.started(attempt, chosen, tools.time().monotonicMillis() - arrivedAtMillis);
        tools.client()
                .open(chosen, HttpMethod.valueOf(request.method()), request.uri(), attempt, request.headers())
                .onSuccess(this::send)
                .onFailure(failure -> failed(new AttemptFailure(AttemptFailure.Kind.NOT_CONNECTED, "no connection")));
    }

    /**
     * Sends the call.
     *
     * @param opened The open request.
     */
    private void send(HttpClientRequest opened) {
        if (ended) {
            opened.reset();
            return;
        }
        sending = opened;
        sent = true;
        opened.send(request.body())
                .compose(response -> response.body().compose(body -> received(response, body)))
                .onFailure(failure -> failed(AttemptFailure.broken(failure, "connection lost")));
    }

    /**
     * Takes the answer.
     *
     * @param response The response.
     * @param body The body.
     * @return Nothing.
     */
    private Future<Void> received(HttpClientResponse response, Buffer body) {
        if (ended) {
            return Future.succeededFuture();
        }
        String echoed = response.getHeader(BackendClient.ATTEMPT_HEADER);
        if (echoed != null && !echoed.equals(reply.requestId() + "-" + attempts)) {
            failed(new AttemptFailure(AttemptFailure.Kind.INVALID_ANSWER, "answer to another attempt"));
            return Future.succeededFuture();
        }
        String contentType = response.getHeader("Content-Type");
        String type = contentType == null ? "application/octet-stream" : contentType;
        reservation.answered(response.statusCode(), type, body);
        release();
        close();
        tools.guard().completed(fingerprint);
        retries().succeeded();
        reply.answer(response.statusCode(), type, body);
        events.succeeded(0, tools.time().monotonicMillis() - arrivedAtMillis);
        return Future.succeededFuture();
    }

    /**
     * Acts on a failed attempt.
     *
     * @param failure How it failed.
     */
    private void failed(AttemptFailure failure) {
        if (ended) {
            return;
        }
        if (sending != null) {
            sending.reset();
        }
        BackendServer failedServer = server;
        tools.board().failed(tools.time().monotonicMillis(), failedServer);
        release();
        if (failure.kind() != AttemptFailure.Kind.CONNECTION_LOST) {
            goOn(failedServer, failure);
            return;
        }
        tools.guard()
                .lost(fingerprint, failedServer, attemptAtMillis)
                .onSuccess(crashed -> events.lost(reply.requestId() + "-" + attempts, failedServer, crashed))
                .onComplete(judged -> reply.context().runOnContext(ignored -> goOn(failedServer, failure)));
    }

    /**
     * Tries again after a failed attempt, or gives up.
     *
     * @param failedServer The backend server.
     * @param failure How it failed.
     */
    private void goOn(BackendServer failedServer, AttemptFailure failure) {
        if (ended) {
            return;
        }
        Optional<RequestFailure> quarantined = tools.guard().refusal(fingerprint);
        boolean mayRepeat = (!isAtMostOnce() || !sent) && quarantined.isEmpty() && !reply.isClosed();
        boolean again = mayRepeat && attempts < ATTEMPTS && retries().tryRetry();
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

    /**
     * Refuses the call.
     *
     * @param refusal The refusal.
     */
    private void refused(Refusal refusal) {
        if (!ended) {
            end(new RequestFailure(
                    refusal.code(), "no capacity for this class now", !sent, refusal.retryAfterMillis()));
        }
    }

    /** Acts on a caller that went away: what waits is dropped, what was sent goes on so that its outcome is recorded. */
    private void callerGone() {
        if (sent && isAtMostOnce()) {
            return;
        }
        end(RequestFailure.notRun(ErrorCode.INTERNAL, "the caller is gone").withNotRun(!sent));
    }

    /**
     * Ends the call with a failure.
     *
     * @param failure The failure.
     */
    private void end(RequestFailure failure) {
        if (ended) {
            return;
        }
        tools.scheduler().cancel(number);
        reservation.unanswered(sent);
        if (server != null) {
            release();
        }
        if (sending != null) {
            sending.reset();
        }
        close();
        if (!detached) {
            events.refused(failure);
        }
        reply.fail(failure);
    }

    /** Marks the call as ended and counts its usage. */
    private void close() {
        ended = true;
        tools.active().remove(this);
        if (sent) {
            UsageKey usageKey =
                    new UsageKey(caller.customer().name(), caller.serviceClass().name());
            tools.usage().count(usageKey, new UsageFigures(1, 0, 0));
        }
    }

    /** Frees the slot of the attempt. */
    private void release() {
        tools.guard().ended(run(attempts));
        tools.scheduler().ended(number, server);
        server = null;
    }

    /**
     * Returns the identifier of a run.
     *
     * @param attemptNumber The number of the attempt.
     * @return The identifier.
     */
    private RunId run(int attemptNumber) {
        return new RunId(fingerprint, reply.requestId() + "-" + attemptNumber);
    }

    /**
     * Returns the retry budget.
     *
     * @return The budget.
     */
    private RetryBudget retries() {
        return tools.retries()
                .of(caller.customer().name(), caller.serviceClass().name());
    }

    /**
     * Tells whether the call must run at most once.
     *
     * @return Whether it must.
     */
    private boolean isAtMostOnce() {
        return request.route().repetition() == Repetition.AT_MOST_ONCE;
    }
}
