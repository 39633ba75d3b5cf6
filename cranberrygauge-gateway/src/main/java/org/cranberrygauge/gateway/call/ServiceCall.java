package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.reservation.ReservationVerdict;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.gateway.GatewayEvents;
import org.cranberrygauge.gateway.schedule.PendingCall;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.cranberrygauge.model.service.Repetition;

/**
 * One call to a plain service on its way.
 *
 * <p>Invariants: a call on an at-most-once route is sent at most once; before a byte was sent each refusal says "not run",
 * and after it none does; a reserved call is sent only after its reservation won. Used on the context of the caller's
 * connection, but for the methods that say otherwise.
 */
public final class ServiceCall implements ActiveCall {

    /** The number of attempts after which an idempotent call is given up. */
    private static final int ATTEMPTS = 3;

    /** The largest answer that is kept in the log in bytes. */
    private static final int KEPT_ANSWER_BYTES = 4_096;

    /** The time after which a caller may ask again for a call that runs in milliseconds. */
    private static final long RUNNING_RETRY_MILLIS = 1_000;

    /** The time after which a caller may try again while the log is down in milliseconds. */
    private static final long LOG_RETRY_MILLIS = 5_000;

    /** What every request works with. */
    private final CallTools tools;

    /** Whose request it is. */
    private final Caller caller;

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

    /** Whether the call holds a reservation. */
    private boolean reserved;

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
    public ServiceCall(CallTools tools, Caller caller, ServiceRequest request, CallerReply reply, long number) {
        this.tools = tools;
        this.caller = caller;
        this.request = request;
        this.reply = reply;
        this.number = number;
        this.arrivedAtMillis = tools.time().monotonicMillis();
    }

    /** Reserves the call where needed and submits it. */
    public void begin() {
        tools.active().add(this);
        reply.onVanished(this::callerGone);
        if (!isAtMostOnce() || request.idempotencyKey() == null) {
            submit();
            return;
        }
        Reservation reservation = new Reservation(
                reservationId(),
                caller.customer().name(),
                request.route().pathPrefix(),
                request.keyDigest(),
                request.digest(),
                tools.gateway(),
                tools.time().wallMillis());
        tools.desk()
                .reserve(reservation)
                .onComplete(
                        verdict -> reply.context().runOnContext(ignored -> judged(verdict)),
                        failure -> reply.context().runOnContext(ignored -> notReserved(failure)));
    }

    @Override
    public KeyDigest key() {
        return caller.key();
    }

    @Override
    public void abort(RequestFailure failure) {
        reply.context().runOnContext(ignored -> {
            if (!ended) {
                end(new RequestFailure(failure.code(), failure.message(), !sent, failure.retryAfterMillis()));
            }
        });
    }

    /**
     * Acts on the verdict of the reservation.
     *
     * @param verdict The verdict.
     */
    private void judged(ReservationVerdict verdict) {
        if (verdict == ReservationVerdict.Won.INSTANCE) {
            reserved = true;
            if (ended) {
                recordOutcome(Disposition.NOT_RUN, 0, "", Buffer.buffer());
                return;
            }
            submit();
        } else if (verdict instanceof ReservationVerdict.Answered answered) {
            repeatAnswer(answered.outcome());
        } else if (verdict == ReservationVerdict.OtherBody.INSTANCE) {
            end(RequestFailure.notRun(ErrorCode.KEY_REUSED, "the idempotency key was used with another body"));
        } else if (verdict == ReservationVerdict.Running.INSTANCE) {
            end(RequestFailure.mayHaveRun(ErrorCode.IN_PROGRESS, "the call with this idempotency key still runs")
                    .withRetryAfter(RUNNING_RETRY_MILLIS));
        } else {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.OUTCOME_UNKNOWN, "the outcome of this call is unknown; it is not run again"));
        }
    }

    /**
     * Refuses a call whose reservation is not in the log.
     *
     * @param failure The failure.
     */
    private void notReserved(Throwable failure) {
        ErrorCode code = failure instanceof CranberrygaugeException known ? known.code() : ErrorCode.LOG_UNAVAILABLE;
        end(RequestFailure.notRun(code, "the call could not be reserved").withRetryAfter(LOG_RETRY_MILLIS));
    }

    /**
     * Answers with the recorded outcome of an earlier call.
     *
     * @param outcome The outcome.
     */
    private void repeatAnswer(ReservationOutcome outcome) {
        if (!outcome.bodyKept()) {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.IN_PROGRESS,
                    "the call ran with status " + outcome.status() + "; its answer is not kept"));
            return;
        }
        ended = true;
        tools.active().remove(this);
        reply.answer(outcome.status(), outcome.contentType(), Buffer.buffer(outcome.body()));
    }

    /** Waits for a backend server. */
    private void submit() {
        QueuedRequest queued = new QueuedRequest(
                number,
                caller.customer().name(),
                caller.customer().weight(),
                caller.serviceClass().name(),
                request.route().service(),
                1,
                arrivedAtMillis,
                arrivedAtMillis + caller.serviceClass().longestWaitMillis());
        tools.scheduler()
                .submit(new PendingCall(
                        queued,
                        new RoutingRequest(request.route().service(), "", 0),
                        chosen -> reply.context().runOnContext(ignored -> start(chosen)),
                        refusal -> reply.context().runOnContext(ignored -> refused(refusal))));
    }

    /**
     * Starts an attempt.
     *
     * @param chosen The backend server.
     */
    private void start(BackendServer chosen) {
        if (ended) {
            tools.scheduler().ended(number, chosen);
            return;
        }
        attempts++;
        server = chosen;
        String attempt = reply.requestId() + "-" + attempts;
        tools.events()
                .emit(new GatewayEvents.RequestStarted(
                        reply.requestId(), attempt, chosen.name(), tools.time().monotonicMillis() - arrivedAtMillis));
        tools.client()
                .open(chosen, HttpMethod.valueOf(request.method()), request.uri(), attempt, request.headers())
                .onSuccess(this::send)
                .onFailure(failure -> failed("no connection"));
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
                .onFailure(failure -> failed("connection lost"));
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
        String contentType = response.getHeader("Content-Type");
        String type = contentType == null ? "application/octet-stream" : contentType;
        recordOutcome(Disposition.ANSWERED, response.statusCode(), type, body);
        release();
        close();
        tools.retries().succeeded();
        reply.answer(response.statusCode(), type, body);
        long totalMillis = tools.time().monotonicMillis() - arrivedAtMillis;
        tools.metrics().total(caller.customer().name(), caller.serviceClass().name(), totalMillis);
        tools.events()
                .emit(new GatewayEvents.RequestSucceeded(
                        reply.requestId(),
                        caller.customer().name(),
                        caller.serviceClass().name(),
                        0,
                        totalMillis));
        return Future.succeededFuture();
    }

    /**
     * Acts on a failed attempt.
     *
     * @param reason The reason.
     */
    private void failed(String reason) {
        if (ended) {
            return;
        }
        BackendServer failedServer = server;
        tools.board().failed(tools.time().monotonicMillis(), failedServer);
        release();
        boolean mayRepeat = !isAtMostOnce() || !sent;
        boolean again = mayRepeat && attempts < ATTEMPTS && tools.retries().tryRetry();
        tools.metrics().failedAttempt(caller.serviceClass().name(), again ? "retry" : "give_up");
        tools.events()
                .emit(new GatewayEvents.AttemptFailed(
                        reply.requestId(),
                        reply.requestId() + "-" + attempts,
                        failedServer.name(),
                        reason,
                        again ? "retry" : "give_up"));
        if (again) {
            submit();
        } else if (isAtMostOnce() && sent) {
            end(RequestFailure.mayHaveRun(
                    ErrorCode.OUTCOME_UNKNOWN, "the outcome of this call is unknown; it is not run again"));
        } else {
            end(new RequestFailure(ErrorCode.BACKEND_FAILED, "the service failed: " + reason, !sent, 0));
        }
    }

    /**
     * Refuses the call.
     *
     * @param refusal The refusal.
     */
    private void refused(Refusal refusal) {
        if (!ended) {
            tools.metrics().refused(caller.serviceClass().name(), refusal.code().text());
            end(new RequestFailure(
                    refusal.code(), "no capacity for this class now", !sent, refusal.retryAfterMillis()));
        }
    }

    /** Acts on a caller that went away: what waits is dropped, what was sent goes on so that its outcome is recorded. */
    private void callerGone() {
        if (sent && isAtMostOnce()) {
            return;
        }
        end(RequestFailure.notRun(ErrorCode.INTERNAL, "the caller is gone"));
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
        if (reserved) {
            recordOutcome(sent ? Disposition.UNKNOWN : Disposition.NOT_RUN, 0, "", Buffer.buffer());
        }
        if (server != null) {
            release();
        }
        if (sending != null) {
            sending.reset();
        }
        close();
        tools.events()
                .emit(new GatewayEvents.RequestRefused(
                        reply.requestId(),
                        caller.customer().name(),
                        caller.serviceClass().name(),
                        failure.code().text(),
                        failure.notRun(),
                        failure.retryAfterMillis()));
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
        tools.scheduler().ended(number, server);
        server = null;
    }

    /**
     * Records the outcome of a reserved call.
     *
     * @param disposition What became of it.
     * @param status The status.
     * @param contentType The content type.
     * @param body The body.
     */
    private void recordOutcome(Disposition disposition, int status, String contentType, Buffer body) {
        if (!reserved) {
            return;
        }
        boolean kept = disposition == Disposition.ANSWERED && body.length() <= KEPT_ANSWER_BYTES;
        tools.desk()
                .record(new ReservationOutcome(
                        reservationId(), disposition, status, contentType, kept ? body.toString() : "", kept));
    }

    /**
     * Returns the identifier of the reservation.
     *
     * @return The identifier.
     */
    private String reservationId() {
        return reply.requestId();
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
