package org.cranberrygauge.decision.reservation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;

/**
 * The table of reserved calls.
 *
 * <p>Invariants: of all reservations of one customer, route and key within the retention, the one with the lowest offset
 * wins in every reader; a call whose outcome is known or unknown never gets a second winner; only a recorded outcome of
 * "not run", a release by an operator or the end of the retention frees the key. Time is that of the log, so that every
 * reader forgets at the same entry. One thread writes; any thread reads.
 */
public final class Reservations {

    /** The winners by key. */
    private final Map<Name, ReservationState> winners = new ConcurrentHashMap<>();

    /** The keys by the identifier of their winner. */
    private final Map<String, Name> names = new ConcurrentHashMap<>();

    /** The winners in the order in which they were reserved. */
    private final Deque<ReservationState> order = new ArrayDeque<>();

    /**
     * Applies a reservation that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @param reservation The reservation.
     * @return The verdict for the call that wrote it.
     */
    public ReservationVerdict reserve(long offset, Reservation reservation) {
        Name name = Name.of(reservation);
        ReservationState winner = winners.get(name);
        if (winner == null) {
            ReservationState state = new ReservationState(offset, reservation, null);
            winners.put(name, state);
            names.put(reservation.reservationId(), name);
            order.addLast(state);
            return ReservationVerdict.Won.INSTANCE;
        }
        if (winner.reservation().reservationId().equals(reservation.reservationId())) {
            return ReservationVerdict.Won.INSTANCE;
        }
        return verdictAgainst(winner, reservation.bodyDigest());
    }

    /**
     * Applies an outcome that was read from the log.
     *
     * @param outcome The outcome.
     */
    public void record(ReservationOutcome outcome) {
        Name name = names.get(outcome.reservationId());
        if (name == null) {
            return;
        }
        if (outcome.disposition() == Disposition.NOT_RUN) {
            release(outcome.reservationId());
            return;
        }
        winners.computeIfPresent(name, (key, state) -> state.withOutcome(outcome));
    }

    /**
     * Frees the key of a reservation.
     *
     * @param reservationId The identifier of the reservation.
     */
    public void release(String reservationId) {
        Name name = names.remove(reservationId);
        if (name != null) {
            winners.remove(name);
        }
    }

    /**
     * Marks running calls of a gateway that is gone as unknown.
     *
     * @param gateway The incarnation of the gateway.
     */
    public void gatewayLeft(String gateway) {
        for (ReservationState state : order) {
            if (state.reservation().gateway().equals(gateway)) {
                record(new ReservationOutcome(
                        state.reservation().reservationId(), Disposition.UNKNOWN, 0, "", "", false));
            }
        }
    }

    /**
     * Forgets reservations that are older than the retention.
     *
     * @param logTimeMillis The time of the newest log entry in milliseconds of the epoch.
     * @param retentionMillis The retention in milliseconds.
     */
    public void expire(long logTimeMillis, long retentionMillis) {
        while (!order.isEmpty()
                && order.peekFirst().reservation().reservedAtMillis() + retentionMillis < logTimeMillis) {
            release(order.removeFirst().reservation().reservationId());
        }
    }

    /**
     * Looks up what is known of a key before anything is written.
     *
     * @param customer The name of the customer.
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @param bodyDigest The digest of the method, path and body.
     * @return The verdict, or nothing if the key is free as far as this reader knows.
     */
    public Optional<ReservationVerdict> lookup(String customer, String route, String key, String bodyDigest) {
        return Optional.ofNullable(winners.get(new Name(customer, route, key)))
                .map(winner -> verdictAgainst(winner, bodyDigest));
    }

    /**
     * Returns the number of remembered reservations.
     *
     * @return The number.
     */
    public int size() {
        return winners.size();
    }

    /**
     * Judges a later call against the winner of its key.
     *
     * @param winner The winner.
     * @param bodyDigest The digest of the later call.
     * @return The verdict.
     */
    private static ReservationVerdict verdictAgainst(ReservationState winner, String bodyDigest) {
        if (!winner.reservation().bodyDigest().equals(bodyDigest)) {
            return ReservationVerdict.OtherBody.INSTANCE;
        }
        if (winner.outcome() == null) {
            return ReservationVerdict.Running.INSTANCE;
        }
        if (winner.outcome().disposition() == Disposition.ANSWERED) {
            return new ReservationVerdict.Answered(winner.outcome());
        }
        return ReservationVerdict.Unknown.INSTANCE;
    }

    /**
     * What a key is unique within.
     *
     * @param customer The name of the customer.
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     */
    private record Name(String customer, String route, String key) {

        /**
         * Returns the name of a reservation.
         *
         * @param reservation The reservation.
         * @return The name.
         */
        private static Name of(Reservation reservation) {
            return new Name(reservation.customer(), reservation.route(), reservation.key());
        }
    }
}
