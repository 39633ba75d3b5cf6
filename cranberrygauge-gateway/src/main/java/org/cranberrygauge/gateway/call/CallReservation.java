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
 * The reservation of one call.
 *
 * <p>Invariants: an outcome is recorded only for a reservation that won. Used on the context of the caller's connection.
 */
final class CallReservation {

    /** The largest answer that is kept in the log in bytes. */
    private static final int KEPT_ANSWER_BYTES = 4_096;

    /** The time after which a caller may ask again for a call that runs in milliseconds. */
    private static final long RUNNING_RETRY_MILLIS = 1_000;

    /** The time after which a caller may try again while the log is down in milliseconds. */
    private static final long LOG_RETRY_MILLIS = 5_000;

    /** What every request works with. */
    private final CallDependencies tools;

    /** The identifier. */
    private final String id;

    /** Whether it won. */
    private boolean held;

    /**
     * Creates a reservation that is not made yet.
     *
     * @param tools What every request works with.
     * @param id The identifier.
     */
    CallReservation(CallDependencies tools, String id) {
        this.tools = tools;
        this.id = id;
    }

    /**
     * Makes the reservation.
     *
     * @param caller Whose call it is.
     * @param request The call.
     * @return The verdict, or a failure after which the call must not be dispatched.
     */
    Future<ReservationDecision> make(Caller caller, ServiceRequest request) {
        return tools.desk()
                .reserve(new Reservation(
                        id,
                        caller.customer().name(),
                        request.route().pathPrefix(),
                        request.keyDigest(),
                        request.digest(),
                        tools.gateway(),
                        tools.time().wallMillis()));
    }

    /** Notes that the reservation won. */
    void won() {
        held = true;
    }

    /**
     * Records the answer.
     *
     * @param status The status.
     * @param contentType The content type.
     * @param body The body.
     */
    void answered(int status, String contentType, Buffer body) {
        boolean kept = body.length() <= KEPT_ANSWER_BYTES;
        record(new ReservationOutcome(
                id, Disposition.ANSWERED, status, contentType, kept ? body.toString() : "", kept));
    }

    /**
     * Records that there is no answer.
     *
     * @param sent Whether a byte may have reached a backend server.
     */
    void unanswered(boolean sent) {
        record(new ReservationOutcome(id, sent ? Disposition.UNKNOWN : Disposition.NOT_RUN, 0, "", "", false));
    }

    /**
     * Tells how a call is refused whose reservation did not win and that has no answer on record.
     *
     * @param verdict The verdict.
     * @return The refusal.
     */
    static RequestFailure refusal(ReservationDecision verdict) {
        if (verdict == ReservationDecision.OtherBody.INSTANCE) {
            return RequestFailure.notRun(ErrorCode.KEY_REUSED, "the idempotency key was used with another body");
        }
        if (verdict == ReservationDecision.Running.INSTANCE) {
            return RequestFailure.mayHaveRun(ErrorCode.IN_PROGRESS, "the call with this idempotency key still runs")
                    .withRetryAfter(RUNNING_RETRY_MILLIS);
        }
        return RequestFailure.mayHaveRun(
                ErrorCode.OUTCOME_UNKNOWN, "the outcome of this call is unknown; it is not run again");
    }

    /**
     * Tells how a call is refused whose reservation is not in the log.
     *
     * @param failure The failure.
     * @return The refusal.
     */
    static RequestFailure refusal(Throwable failure) {
        ErrorCode code = failure instanceof CranberrygaugeException known ? known.code() : ErrorCode.LOG_UNAVAILABLE;
        return RequestFailure.notRun(code, "the call could not be reserved").withRetryAfter(LOG_RETRY_MILLIS);
    }

    /**
     * Records an outcome if the reservation won.
     *
     * @param outcome The outcome.
     */
    private void record(ReservationOutcome outcome) {
        if (held) {
            tools.desk().record(outcome);
        }
    }
}
