package org.cranberrygauge.gateway.call;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * The reservation of one at-most-once call.
 *
 * <p>Invariants: an outcome is recorded only if this reservation won. Used on the context of the caller's connection.
 */
final class CallReservation {

    /** The largest response body stored in the log in bytes; of larger ones only the status is stored. */
    private static final int MAX_STORED_BODY_BYTES = 4_096;

    /** The Retry-After delay sent while the original call is still running, in milliseconds. */
    private static final long IN_PROGRESS_RETRY_MILLIS = 1_000;

    /** The Retry-After delay sent while the log is unavailable, in milliseconds. */
    private static final long LOG_UNAVAILABLE_RETRY_MILLIS = 5_000;

    private final CallDependencies dependencies;

    private final String id;

    /** Whether the reservation won. */
    private boolean won;

    CallReservation(CallDependencies dependencies, String id) {
        this.dependencies = dependencies;
        this.id = id;
    }

    /**
     * Appends the reservation and waits for the decision.
     *
     * @return The decision, or a failure after which the call must not be dispatched.
     */
    Future<ReservationDecision> reserve(Caller caller, ServiceRequest request) {
        return dependencies
                .reservations()
                .reserve(new Reservation(
                        id,
                        caller.customer().name(),
                        request.route().pathPrefix(),
                        request.keyDigest(),
                        request.digest(),
                        dependencies.gateway(),
                        dependencies.time().wallMillis()));
    }

    void markWon() {
        won = true;
    }

    /**
     * Records the response, without its body if that is too large to be stored.
     *
     * @param whole Whether the body is known to be complete; otherwise it is not stored either.
     */
    void recordResponse(int status, String contentType, Buffer body, boolean whole) {
        boolean stored = whole && body.length() <= MAX_STORED_BODY_BYTES;
        record(new ReservationOutcome(
                id, Disposition.ANSWERED, status, contentType, stored ? body.toString() : "", stored));
    }

    /**
     * Records that the call got no response.
     *
     * @param sent Whether any byte may have reached a backend server.
     */
    void recordNoResponse(boolean sent) {
        record(new ReservationOutcome(id, sent ? Disposition.UNKNOWN : Disposition.NOT_RUN, 0, "", "", false));
    }

    /** Returns the failure for a call whose reservation did not win and for which no response is recorded. */
    static RequestFailure refusal(ReservationDecision decision) {
        if (decision == ReservationDecision.OtherBody.INSTANCE) {
            return RequestFailure.notRun(ErrorCode.KEY_REUSED, "the idempotency key was used with another body");
        }
        if (decision == ReservationDecision.Running.INSTANCE) {
            return RequestFailure.mayHaveRun(
                            ErrorCode.IN_PROGRESS, "the call with this idempotency key is still running")
                    .withRetryAfter(IN_PROGRESS_RETRY_MILLIS);
        }
        return RequestFailure.mayHaveRun(
                ErrorCode.OUTCOME_UNKNOWN, "the outcome of this call is unknown; it is not run again");
    }

    /** Returns the failure for a call whose reservation could not be written to the log. */
    static RequestFailure refusal(Throwable failure) {
        ErrorCode code = failure instanceof CranberrygaugeException known ? known.code() : ErrorCode.LOG_UNAVAILABLE;
        return RequestFailure.notRun(code, "the call could not be reserved")
                .withRetryAfter(LOG_UNAVAILABLE_RETRY_MILLIS);
    }

    private void record(ReservationOutcome outcome) {
        if (won) {
            dependencies.reservations().record(outcome);
        }
    }
}
