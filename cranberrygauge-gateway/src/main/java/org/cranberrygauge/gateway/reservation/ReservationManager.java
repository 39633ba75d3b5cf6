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
 * Reserves calls in the log and waits until the reservation is read back.
 *
 * <p>Invariants: a call is told that it won only after its reservation was read back from the log within the timeout; a
 * call that was given up is recorded as not run, so that its key becomes free; a call that ended in this gateway is never
 * said to run, also before its outcome is read back. Safe for use by several threads.
 */
public final class ReservationManager {

    /** The outcomes that are remembered until they are read back. */
    private static final int REMEMBERED_OUTCOMES = 1_024;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** Appends records to the log. */
    private final RecordAppender appender;

    /** The table of reserved calls. */
    private final Reservations reservations;

    /** The time after which a reservation is given up in milliseconds. */
    private final long timeoutMillis;

    /** The outcomes of calls that ended in this gateway, by identifier of the reservation; the newest ones. */
    private final Map<String, ReservationOutcome> endedHere = new LinkedHashMap<>() {

        /** The version of the serialized form. */
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, ReservationOutcome> eldest) {
            return size() > REMEMBERED_OUTCOMES;
        }
    };

    /** Those that wait, by identifier of the reservation. */
    private final Map<String, Promise<ReservationDecision>> waiting = new ConcurrentHashMap<>();

    /**
     * Creates a desk.
     *
     * @param vertx The Vert.x instance.
     * @param appender Appends records to the log.
     * @param reservations The table of reserved calls.
     * @param timeoutMillis The time after which a reservation is given up in milliseconds.
     */
    public ReservationManager(Vertx vertx, RecordAppender appender, Reservations reservations, long timeoutMillis) {
        this.vertx = vertx;
        this.appender = appender;
        this.reservations = reservations;
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Takes in what became of a reservation.
     *
     * @param effect The effect.
     */
    public void accept(ApplyResult effect) {
        if (effect instanceof ApplyResult.ReservationResult judged) {
            Promise<ReservationDecision> promise = waiting.remove(judged.reservationId());
            if (promise != null) {
                promise.complete(judged.verdict());
            }
        }
    }

    /**
     * Reserves a call.
     *
     * @param reservation The reservation.
     * @return The verdict, or a failure after which the call must not be dispatched.
     */
    public Future<ReservationDecision> reserve(Reservation reservation) {
        Optional<ReservationDecision> known = reservations.lookup(
                reservation.customer(), reservation.route(), reservation.key(), reservation.bodyDigest());
        if (known.isPresent()) {
            return Future.succeededFuture(withOwnOutcome(reservation, known.get()));
        }
        Promise<ReservationDecision> promise = Promise.promise();
        waiting.put(reservation.reservationId(), promise);
        vertx.setTimer(timeoutMillis, timer -> giveUp(reservation));
        appender.append(reservation).onFailure(failure -> {
            if (waiting.remove(reservation.reservationId()) != null) {
                promise.fail(failure);
            }
        });
        return promise.future();
    }

    /**
     * Records the outcome of a reserved call.
     *
     * @param outcome The outcome.
     */
    public void record(ReservationOutcome outcome) {
        if (outcome.disposition() != Disposition.NOT_RUN) {
            synchronized (endedHere) {
                endedHere.put(outcome.reservationId(), outcome);
            }
        }
        appender.append(outcome);
    }

    /**
     * Replaces the verdict on a call that still runs, as far as the log tells, by the outcome that this gateway knows.
     *
     * @param reservation The later reservation of the same key.
     * @param verdict The verdict.
     * @return The verdict to give.
     */
    private ReservationDecision withOwnOutcome(Reservation reservation, ReservationDecision verdict) {
        if (verdict != ReservationDecision.Running.INSTANCE) {
            return verdict;
        }
        ReservationOutcome outcome;
        synchronized (endedHere) {
            outcome = reservations
                    .winner(reservation.customer(), reservation.route(), reservation.key())
                    .map(endedHere::get)
                    .orElse(null);
        }
        if (outcome == null) {
            return verdict;
        }
        return outcome.disposition() == Disposition.ANSWERED
                ? new ReservationDecision.Answered(outcome)
                : ReservationDecision.Unknown.INSTANCE;
    }

    /**
     * Gives up a reservation that was not read back in time.
     *
     * @param reservation The reservation.
     */
    private void giveUp(Reservation reservation) {
        Promise<ReservationDecision> promise = waiting.remove(reservation.reservationId());
        if (promise == null) {
            return;
        }
        record(new ReservationOutcome(reservation.reservationId(), Disposition.NOT_RUN, 0, "", "", false));
        promise.fail(
                new CranberrygaugeException(ErrorCode.LOG_UNAVAILABLE, "the log did not take the reservation in time"));
    }

    /** Appends records to the log. */
    @FunctionalInterface
    public interface RecordAppender {

        /**
         * Appends a record.
         *
         * @param record The record.
         * @return The offset of its entry.
         */
        Future<Long> append(LogRecord record);
    }
}
