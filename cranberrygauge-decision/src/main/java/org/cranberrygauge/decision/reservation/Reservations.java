package org.cranberrygauge.decision.reservation;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
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
 * "not run", a release by an operator or the end of the retention frees the key; an identifier reserves one key only. Time is that of the log, so that every
 * reader forgets at the same entry. One thread writes; any thread reads.
 */
public final class Reservations {

    /** The time after which a reserved call can no longer be on its way to a backend server in milliseconds. */
    private static final long LONGEST_CALL_MILLIS = 600_000;

    /** The winners by key. */
    private final Map<Name, ReservationState> winners = new ConcurrentHashMap<>();

    /** The keys by the identifier of their winner, in the order in which they were reserved; used by one thread. */
    private final Map<String, Name> names = new LinkedHashMap<>();

    /**
     * Applies a reservation that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @param appendedAtMillis The time at which the log took it in milliseconds of the epoch.
     * @param reservation The reservation.
     * @return The verdict for the call that wrote it.
     */
    public ReservationDecision reserve(long offset, long appendedAtMillis, Reservation reservation) {
        Name name = Name.of(reservation);
        ReservationState winner = winners.get(name);
        if (winner == null && names.containsKey(reservation.reservationId())) {
            return ReservationDecision.OtherBody.INSTANCE;
        }
        if (winner == null) {
            winners.put(name, new ReservationState(offset, appendedAtMillis, reservation, null));
            names.put(reservation.reservationId(), name);
            return ReservationDecision.Won.INSTANCE;
        }
        if (winner.reservation().reservationId().equals(reservation.reservationId())) {
            return ReservationDecision.Won.INSTANCE;
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
            freeUnanswered(name, outcome.reservationId());
            return;
        }
        winners.computeIfPresent(name, (key, state) -> state.withOutcome(outcome));
    }

    /**
     * Frees the key of a reservation for an operator; void while the call runs or may still be on its way to the backend
     * server, since it could then run twice.
     *
     * @param logTimeMillis The time of the log in milliseconds of the epoch.
     * @param reservationId The identifier of the reservation.
     * @return Whether the key is free.
     */
    public boolean release(long logTimeMillis, String reservationId) {
        Name name = names.get(reservationId);
        ReservationState state = name == null ? null : winners.get(name);
        if (state == null
                || state.outcome() == null
                || logTimeMillis - state.appendedAtMillis() < LONGEST_CALL_MILLIS) {
            return false;
        }
        forget(reservationId);
        return true;
    }

    /**
     * Marks running calls of a gateway that is gone as unknown.
     *
     * @param gateway The incarnation of the gateway.
     */
    public void gatewayLeft(String gateway) {
        for (Name name : names.values()) {
            winners.computeIfPresent(name, (key, state) -> endedWith(gateway, state));
        }
    }

    /**
     * Forgets reservations that are older than the retention, by the times at which the log took them.
     *
     * @param logTimeMillis The time of the newest log entry in milliseconds of the epoch.
     * @param retentionMillis The retention in milliseconds.
     */
    public void expire(long logTimeMillis, long retentionMillis) {
        Iterator<Name> oldest = names.values().iterator();
        while (oldest.hasNext()) {
            Name name = oldest.next();
            if (winners.get(name).appendedAtMillis() + retentionMillis >= logTimeMillis) {
                return;
            }
            oldest.remove();
            winners.remove(name);
        }
    }

    /**
     * Returns the remembered reservations in the order in which they were reserved.
     *
     * @return The reservations.
     */
    public List<ReservationState> export() {
        return names.values().stream().map(winners::get).toList();
    }

    /**
     * Replaces all reservations.
     *
     * @param states The reservations in the order in which they were reserved.
     */
    public void restore(List<ReservationState> states) {
        names.clear();
        winners.clear();
        for (ReservationState state : states) {
            Name name = Name.of(state.reservation());
            names.put(state.reservation().reservationId(), name);
            winners.put(name, state);
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
    public Optional<ReservationDecision> lookup(String customer, String route, String key, String bodyDigest) {
        return Optional.ofNullable(winners.get(new Name(customer, route, key)))
                .map(winner -> verdictAgainst(winner, bodyDigest));
    }

    /**
     * Returns the reservation that holds a key.
     *
     * @param customer The name of the customer.
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @return The identifier of the reservation, or nothing if the key is free as far as this reader knows.
     */
    public Optional<String> winner(String customer, String route, String key) {
        return Optional.ofNullable(winners.get(new Name(customer, route, key)))
                .map(winner -> winner.reservation().reservationId());
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
     * Frees a key whose call was not run, unless an answer shows that it was.
     *
     * @param name The key.
     * @param reservationId The identifier of the reservation.
     */
    private void freeUnanswered(Name name, String reservationId) {
        ReservationOutcome known = winners.get(name).outcome();
        if (known == null || known.disposition() != Disposition.ANSWERED) {
            forget(reservationId);
        }
    }

    /**
     * Forgets a reservation.
     *
     * @param reservationId The identifier of the reservation.
     */
    private void forget(String reservationId) {
        winners.remove(names.remove(reservationId));
    }

    /**
     * Ends a running call of a gateway that is gone.
     *
     * @param gateway The incarnation of the gateway.
     * @param state The call.
     * @return The call after it.
     */
    private static ReservationState endedWith(String gateway, ReservationState state) {
        if (state.outcome() != null || !state.reservation().gateway().equals(gateway)) {
            return state;
        }
        return state.withOutcome(
                new ReservationOutcome(state.reservation().reservationId(), Disposition.UNKNOWN, 0, "", "", false));
    }

    /**
     * Judges a later call against the winner of its key.
     *
     * @param winner The winner.
     * @param bodyDigest The digest of the later call.
     * @return The verdict.
     */
    private static ReservationDecision verdictAgainst(ReservationState winner, String bodyDigest) {
        if (!winner.reservation().bodyDigest().equals(bodyDigest)) {
            return ReservationDecision.OtherBody.INSTANCE;
        }
        if (winner.outcome() == null) {
            return ReservationDecision.Running.INSTANCE;
        }
        if (winner.outcome().disposition() == Disposition.ANSWERED) {
            return new ReservationDecision.Answered(winner.outcome());
        }
        return ReservationDecision.Unknown.INSTANCE;
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
