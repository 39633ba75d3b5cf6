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
 * The table of reservations for calls that run at most once.
 *
 * <p>Invariants: of all reservations of one customer, route and key within the retention, all readers see the one with
 * the lowest offset as the winner; a call that was answered or has an unknown outcome never gets a second winner; only
 * a recorded outcome of "not run", a release by an operator or the end of the retention frees the key; an identifier
 * reserves one key only. Times are those of the log, so all readers expire a reservation at the same entry. One thread
 * writes; any thread may read.
 */
public final class Reservations {

    /** The time after which a reserved call can no longer be in transit to a backend server, in milliseconds. */
    private static final long MAXIMUM_CALL_MILLIS = 600_000;

    /** The winners by customer, route and key. */
    private final Map<ScopedKey, ReservationState> winners = new ConcurrentHashMap<>();

    /** The keys by the identifier of their winner, in the order of reservation; confined to the writing thread. */
    private final Map<String, ScopedKey> scopedKeys = new LinkedHashMap<>();

    /**
     * Applies a reservation that was read from the log.
     *
     * @param offset The offset of its log entry.
     * @param appendedAtMillis The time at which the log accepted the entry, in milliseconds since the epoch.
     * @return The decision for the call that made the reservation.
     */
    public ReservationDecision reserve(long offset, long appendedAtMillis, Reservation reservation) {
        ScopedKey scopedKey = ScopedKey.of(reservation);
        ReservationState winner = winners.get(scopedKey);
        if (winner == null && scopedKeys.containsKey(reservation.reservationId())) {
            return ReservationDecision.OtherBody.INSTANCE;
        }
        if (winner == null) {
            winners.put(scopedKey, new ReservationState(offset, appendedAtMillis, reservation, null));
            scopedKeys.put(reservation.reservationId(), scopedKey);
            return ReservationDecision.Won.INSTANCE;
        }
        if (winner.reservation().reservationId().equals(reservation.reservationId())) {
            return ReservationDecision.Won.INSTANCE;
        }
        return decideAgainst(winner, reservation.bodyDigest());
    }

    /** Applies an outcome that was read from the log. */
    public void record(ReservationOutcome outcome) {
        ScopedKey scopedKey = scopedKeys.get(outcome.reservationId());
        if (scopedKey == null) {
            return;
        }
        if (outcome.disposition() == Disposition.NOT_RUN) {
            freeUnanswered(scopedKey, outcome.reservationId());
            return;
        }
        winners.computeIfPresent(scopedKey, (key, state) -> state.withOutcome(outcome));
    }

    /**
     * Frees the key of a reservation on behalf of an operator. Has no effect while the call is running or may still be
     * in transit to the backend server, because it could then run twice.
     *
     * @param logTimeMillis The time of the log in milliseconds since the epoch.
     * @return {@code true} if the key was freed.
     */
    public boolean release(long logTimeMillis, String reservationId) {
        ScopedKey scopedKey = scopedKeys.get(reservationId);
        ReservationState state = scopedKey == null ? null : winners.get(scopedKey);
        if (state == null
                || state.outcome() == null
                || logTimeMillis - state.appendedAtMillis() < MAXIMUM_CALL_MILLIS) {
            return false;
        }
        forget(reservationId);
        return true;
    }

    /** Sets the outcome of the running calls of a departed gateway to unknown. */
    public void gatewayLeft(String gateway) {
        for (ScopedKey scopedKey : scopedKeys.values()) {
            winners.computeIfPresent(scopedKey, (key, state) -> markAbandoned(gateway, state));
        }
    }

    /**
     * Removes reservations that are older than the retention, by the times at which the log accepted them.
     *
     * @param logTimeMillis The time of the newest log entry in milliseconds since the epoch.
     */
    public void expire(long logTimeMillis, long retentionMillis) {
        Iterator<ScopedKey> oldest = scopedKeys.values().iterator();
        while (oldest.hasNext()) {
            ScopedKey scopedKey = oldest.next();
            if (winners.get(scopedKey).appendedAtMillis() + retentionMillis >= logTimeMillis) {
                return;
            }
            oldest.remove();
            winners.remove(scopedKey);
        }
    }

    /** Returns the current reservations in the order of reservation. */
    public List<ReservationState> export() {
        return scopedKeys.values().stream().map(winners::get).toList();
    }

    /**
     * Replaces all reservations.
     *
     * @param states The reservations in the order of reservation.
     */
    public void restore(List<ReservationState> states) {
        scopedKeys.clear();
        winners.clear();
        for (ReservationState state : states) {
            ScopedKey scopedKey = ScopedKey.of(state.reservation());
            scopedKeys.put(state.reservation().reservationId(), scopedKey);
            winners.put(scopedKey, state);
        }
    }

    /**
     * Looks up a key before a reservation is written.
     *
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @param bodyDigest The digest of the method, path and body.
     * @return The decision, or empty if the key is free as far as this reader knows.
     */
    public Optional<ReservationDecision> lookup(String customer, String route, String key, String bodyDigest) {
        return Optional.ofNullable(winners.get(new ScopedKey(customer, route, key)))
                .map(winner -> decideAgainst(winner, bodyDigest));
    }

    /**
     * Returns the reservation that holds a key.
     *
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     * @return The identifier of the reservation, or empty if the key is free as far as this reader knows.
     */
    public Optional<String> winner(String customer, String route, String key) {
        return Optional.ofNullable(winners.get(new ScopedKey(customer, route, key)))
                .map(winner -> winner.reservation().reservationId());
    }

    /** Returns the number of current reservations. */
    public int size() {
        return winners.size();
    }

    /** Frees a key whose call was not run, unless a recorded answer shows that it was. */
    private void freeUnanswered(ScopedKey scopedKey, String reservationId) {
        ReservationOutcome known = winners.get(scopedKey).outcome();
        if (known == null || known.disposition() != Disposition.ANSWERED) {
            forget(reservationId);
        }
    }

    private void forget(String reservationId) {
        winners.remove(scopedKeys.remove(reservationId));
    }

    /**
     * Sets the outcome of a call to unknown if it is running at a departed gateway.
     *
     * @return The call after the change.
     */
    private static ReservationState markAbandoned(String gateway, ReservationState state) {
        if (state.outcome() != null || !state.reservation().gateway().equals(gateway)) {
            return state;
        }
        return state.withOutcome(
                new ReservationOutcome(state.reservation().reservationId(), Disposition.UNKNOWN, 0, "", "", false));
    }

    /**
     * Decides on a later call with a key that is already reserved.
     *
     * @param bodyDigest The digest of the later call.
     */
    private static ReservationDecision decideAgainst(ReservationState winner, String bodyDigest) {
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
     * The scope within which an idempotency key is unique.
     *
     * @param route The path prefix of the route.
     * @param key The digest of the idempotency key.
     */
    private record ScopedKey(String customer, String route, String key) {

        private static ScopedKey of(Reservation reservation) {
            return new ScopedKey(reservation.customer(), reservation.route(), reservation.key());
        }
    }
}
