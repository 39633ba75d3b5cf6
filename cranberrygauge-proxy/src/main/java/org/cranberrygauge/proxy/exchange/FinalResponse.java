package org.cranberrygauge.proxy.exchange;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ObjIntConsumer;
import org.cranberrygauge.proxy.admission.RejectReason;
import org.cranberrygauge.proxy.exchange.BackendAttempt.BufferedResponse;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.FalsePromise;
import org.cranberrygauge.proxy.retry.NextStep;

/** Gives the final response to the caller, and ends the exchange with it. Not thread-safe. */
final class FinalResponse {

    private final ExchangeContext context;

    private final ProxyRequest request;

    private final CallerResponse response;

    private final BackendSelection selection;

    /** Ends the exchange; receives its outcome, and the status of the response or 0 if the connection was closed. */
    private final ObjIntConsumer<String> end;

    FinalResponse(
            ExchangeContext context,
            ProxyRequest request,
            CallerResponse response,
            BackendSelection selection,
            ObjIntConsumer<String> end) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.selection = selection;
        this.end = end;
    }

    /**
     * Ends a request that is not sent again.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param outcome The outcome of the last attempt.
     * @param serverError The last server error of a backend server.
     */
    void conclude(
            long nowMillis,
            NextStep step,
            AttemptOutcome outcome,
            Optional<BufferedResponse> serverError,
            StreamEnd streamEnd) {
        switch (step) {
            case REFUSE ->
                rejectUnavailable(
                        nowMillis,
                        outcome == AttemptOutcome.NOT_RUN ? RejectReason.BACKENDS_FULL : RejectReason.NO_BACKEND);
            case PASS_ON -> forward(serverError.orElseThrow(), "server_error");
            case CUT -> cutStream("stream_broken", streamEnd);
            default -> forwardOrReject(serverError);
        }
    }

    /**
     * Forwards a response that has ended, or reports that the request may have run where its status would deny that.
     *
     * @param outcome The outcome of the request.
     */
    void forward(BufferedResponse buffered, String outcome) {
        if (FalsePromise.isGiven(request.route().kind(), buffered.status())) {
            context.events().emit(new ExchangeEvents.PromiseWithheld(request.id(), buffered.status()));
            reject(RejectReason.BACKEND_REJECTED_LATE);
            return;
        }
        MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
        context.codec().copyResponse(buffered.headers(), forwarded);
        response.forward(buffered.status(), forwarded, buffered.body(), buffered.framed());
        end.accept(outcome, buffered.status());
    }

    /** Forwards an earlier server error, or reports that the request may have run. */
    void forwardOrReject(Optional<BufferedResponse> serverError) {
        if (serverError.isPresent()) {
            forward(serverError.get(), "server_error");
        } else {
            reject(RejectReason.BACKEND_BROKE);
        }
    }

    /** Writes the status and headers of a stream. */
    void startStream(HttpClientResponse backendResponse, boolean framed) {
        MultiMap forwarded = MultiMap.caseInsensitiveMultiMap();
        context.codec().copyResponse(backendResponse.headers(), forwarded);
        response.startStream(backendResponse.statusCode(), forwarded, framed);
    }

    /** Ends a stream that is complete, or one without framing as its server has ended it. */
    void endStream(String outcome) {
        response.endStream();
        end.accept(outcome, response.status());
    }

    /**
     * Ends a stream that can't go on. If its server has ended it with the connection alone, and the caller's response has no
     * framing either, the caller learns just that; otherwise the stream is broken off.
     *
     * @param outcome The outcome of a stream that is broken off.
     */
    void cutStream(String outcome, StreamEnd streamEnd) {
        if (streamEnd.isCredible() && !response.isFramed()) {
            endStream("served_unframed");
        } else {
            abort(streamEnd.isStated() ? "end_unknown" : outcome);
        }
    }

    /** Rejects a request that has waited for as long as it may. */
    void rejectExpired(long nowMillis) {
        boolean unavailable = selection.chooseOpen(nowMillis).isEmpty();
        rejectUnavailable(nowMillis, unavailable ? RejectReason.BACKENDS_LIMITED : RejectReason.BACKENDS_FULL);
    }

    /**
     * Rejects a request that has not run and that no server takes.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param otherwise The reason unless all servers pause, in which case the rejection tells when the first one ends.
     */
    void rejectUnavailable(long nowMillis, RejectReason otherwise) {
        OptionalLong fromMillis = selection.availableFromMillis(nowMillis);
        if (fromMillis.isPresent() && fromMillis.getAsLong() > nowMillis) {
            reject(RejectReason.BACKENDS_PAUSED, OptionalLong.of(fromMillis.getAsLong() - nowMillis));
        } else {
            rejectUntilRoom(nowMillis, otherwise);
        }
    }

    /** Rejects a request with the time at which the pool is expected to have room for it. */
    private void rejectUntilRoom(long nowMillis, RejectReason reason) {
        String pool = selection.pool().name();
        OptionalLong retryAfterMillis = context.queues().retryAfterMillis(nowMillis, pool, reason, request);
        boolean predicted = !retryAfterMillis.equals(reason.retryAfterMillis());
        context.metrics().recordReturn(pool, predicted);
        context.events()
                .emit(new ExchangeEvents.ReturnAssigned(
                        request.id(), pool, reason.name(), predicted, retryAfterMillis.orElse(-1)));
        reject(reason, retryAfterMillis);
    }

    void reject(RejectReason reason) {
        reject(reason, reason.retryAfterMillis());
    }

    private void reject(RejectReason reason, OptionalLong retryAfterMillis) {
        response.reject(reason, retryAfterMillis);
        end.accept(reason.name(), reason.status());
    }

    /** Closes the connection to the caller within a stream. */
    void abort(String outcome) {
        response.abort();
        end.accept(outcome, 0);
    }
}
