package org.cranberrygauge.gateway.reservation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * Reserves calls in the log and waits until each reservation is read back.
 *
 * <p>Invariants: a reservation is reported as won only after it was read back from the log within the timeout; one that
 * timed out is recorded as not run, so that its idempotency key becomes free again; a call that ended in this gateway
 * is never reported as running, even before its outcome is read back. Safe for use by several threads.
 */
public final class ReservationManager {

    /** The number of outcomes that are kept until they are read back. */
    private static final int MAX_LOCAL_OUTCOMES = 1_024;

    private final Vertx vertx;

    private final RecordAppender appender;

    private final Reservations reservations;

    /** The time after which a reservation that was not read back is abandoned in milliseconds. */
    private final long timeoutMillis;

    /** The newest outcomes of calls that ended in this gateway by reservation identifier; guarded by itself. */
    private final Map<String, ReservationOutcome> localOutcomes = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ReservationOutcome> eldest) {
            return size() > MAX_LOCAL_OUTCOMES;
        }
    };

    /** The decisions that are awaited by reservation identifier. */
    private final Map<String, Promise<ReservationDecision>> waiting = new ConcurrentHashMap<>();

    /**
     * Creates a manager that appends to the log through the given appender.
     *
     * @param timeoutMillis The time after which a reservation that was not read back is abandoned in milliseconds.
     */
    public ReservationManager(Vertx vertx, RecordAppender appender, Reservations reservations, long timeoutMillis) {
        this.vertx = vertx;
        this.appender = appender;
        this.reservations = reservations;
        this.timeoutMillis = timeoutMillis;
    }

    /** Completes a pending reservation when its record is read back. */
    public void accept(ApplyResult result) {
        if (result instanceof ApplyResult.ReservationResult reservationResult) {
            Promise<ReservationDecision> promise = waiting.remove(reservationResult.reservationId());
            if (promise != null) {
                promise.complete(reservationResult.decision());
            }
        }
    }

    /**
     * Reserves a call.
     *
     * @return The decision, or a failure after which the call must not be dispatched.
     */
    public Future<ReservationDecision> reserve(Reservation reservation) {
        Optional<ReservationDecision> existing = reservations.lookup(
                reservation.customer(), reservation.route(), reservation.key(), reservation.bodyDigest());
        if (existing.isPresent()) {
            return Future.succeededFuture(preferLocalOutcome(reservation, existing.get()));
        }
        Promise<ReservationDecision> promise = Promise.promise();
        waiting.put(reservation.reservationId(), promise);
        vertx.setTimer(timeoutMillis, timer -> abandon(reservation));
        appender.append(reservation).onFailure(failure -> {
            if (waiting.remove(reservation.reservationId()) != null) {
                promise.fail(failure);
            }
        });
        return promise.future();
    }

    /** Records the outcome of a reserved call. */
    public void record(ReservationOutcome outcome) {
        if (outcome.disposition() != Disposition.NOT_RUN) {
            synchronized (localOutcomes) {
                localOutcomes.put(outcome.reservationId(), outcome);
            }
        }
        appender.append(outcome);
    }

    /**
     * Replaces a decision that the call is still running, if this gateway knows its outcome already although the log
     * does not.
     */
    private ReservationDecision preferLocalOutcome(Reservation reservation, ReservationDecision decision) {
        if (decision != ReservationDecision.Running.INSTANCE) {
            return decision;
        }
        ReservationOutcome outcome;
        synchronized (localOutcomes) {
            outcome = reservations
                    .winner(reservation.customer(), reservation.route(), reservation.key())
                    .map(localOutcomes::get)
                    .orElse(null);
        }
        if (outcome == null) {
            return decision;
        }
        return outcome.disposition() == Disposition.ANSWERED
                ? new ReservationDecision.Answered(outcome)
                : ReservationDecision.Unknown.INSTANCE;
    }

    /** Abandons a reservation that was not read back within the timeout. */
    private void abandon(Reservation reservation) {
        Promise<ReservationDecision> promise = waiting.remove(reservation.reservationId());
        if (promise == null) {
            return;
        }
        record(new ReservationOutcome(reservation.reservationId(), Disposition.NOT_RUN, 0, "", "", false));
        promise.fail(new CranberrygaugeException(
                ErrorCode.LOG_UNAVAILABLE, "the log did not confirm the reservation in time"));
    }

    /** Appends records to the log. */
    @FunctionalInterface
    public interface RecordAppender {

        /** Appends a record and returns the offset of its entry. */
        Future<Long> append(LogRecord record);
    }
}
