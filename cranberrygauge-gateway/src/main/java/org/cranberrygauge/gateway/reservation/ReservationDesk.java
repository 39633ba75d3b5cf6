package org.cranberrygauge.gateway.reservation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.decision.reservation.ReservationVerdict;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.decision.state.Effect;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.runtime.log.LogAppender;

/**
 * Reserves calls in the log and waits until the reservation is read back.
 *
 * <p>Invariants: a call is told that it won only after its reservation was read back from the log within the timeout; a
 * call that was given up is recorded as not run, so that its key becomes free. Safe for use by several threads.
 */
public final class ReservationDesk {

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The appender. */
    private final LogAppender appender;

    /** The table of reserved calls. */
    private final Reservations reservations;

    /** The time after which a reservation is given up in milliseconds. */
    private final long timeoutMillis;

    /** Those that wait, by identifier of the reservation. */
    private final Map<String, Promise<ReservationVerdict>> waiting = new ConcurrentHashMap<>();

    /**
     * Creates a desk.
     *
     * @param vertx The Vert.x instance.
     * @param appender The appender.
     * @param reservations The table of reserved calls.
     * @param timeoutMillis The time after which a reservation is given up in milliseconds.
     */
    public ReservationDesk(Vertx vertx, LogAppender appender, Reservations reservations, long timeoutMillis) {
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
    public void accept(Effect effect) {
        if (effect instanceof Effect.ReservationJudged judged) {
            Promise<ReservationVerdict> promise = waiting.remove(judged.reservationId());
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
    public Future<ReservationVerdict> reserve(Reservation reservation) {
        Optional<ReservationVerdict> known = reservations.lookup(
                reservation.customer(), reservation.route(), reservation.key(), reservation.bodyDigest());
        if (known.isPresent()) {
            return Future.succeededFuture(known.get());
        }
        Promise<ReservationVerdict> promise = Promise.promise();
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
        appender.append(outcome);
    }

    /**
     * Gives up a reservation that was not read back in time.
     *
     * @param reservation The reservation.
     */
    private void giveUp(Reservation reservation) {
        Promise<ReservationVerdict> promise = waiting.remove(reservation.reservationId());
        if (promise == null) {
            return;
        }
        record(new ReservationOutcome(reservation.reservationId(), Disposition.NOT_RUN, 0, "", "", false));
        promise.fail(
                new CranberrygaugeException(ErrorCode.LOG_UNAVAILABLE, "the log did not take the reservation in time"));
    }
}
