package org.cranberrygauge.decision.reservation;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.junit.jupiter.api.Test;

class ReservationsTest {

    private static final long DAY_MILLIS = 86_400_000;

    private final Reservations reservations = new Reservations();

    @Test
    void a_gateway_whose_clock_is_a_day_behind_does_not_shorten_the_retention() {
        reservations.reserve(1, 2 * DAY_MILLIS, reservation("first", 0));
        reservations.expire(2 * DAY_MILLIS + 1, DAY_MILLIS);

        assertThat(reservations.reserve(2, 2 * DAY_MILLIS + 1, reservation("second", 0)))
                .isEqualTo(ReservationDecision.Running.INSTANCE);
    }

    @Test
    void a_gateway_whose_clock_is_ahead_does_not_keep_others_from_being_forgotten() {
        reservations.reserve(1, 0, reservation("first", 100 * DAY_MILLIS));
        reservations.expire(DAY_MILLIS + 1, DAY_MILLIS);

        assertThat(reservations.size()).isZero();
    }

    @Test
    void an_answer_that_comes_after_its_gateway_was_declared_gone_replaces_the_unknown_outcome() {
        reservations.reserve(1, 0, reservation("first", 0));
        reservations.gatewayLeft("gateway");
        assertThat(reservations.reserve(2, 1, reservation("second", 0)))
                .isEqualTo(ReservationDecision.Unknown.INSTANCE);

        reservations.record(outcome("first", Disposition.ANSWERED));

        assertThat(reservations.reserve(3, 2, reservation("third", 0)))
                .isInstanceOf(ReservationDecision.Answered.class);
    }

    @Test
    void an_outcome_of_not_run_after_an_answer_frees_nothing() {
        reservations.reserve(1, 0, reservation("first", 0));
        reservations.record(outcome("first", Disposition.ANSWERED));
        reservations.record(outcome("first", Disposition.NOT_RUN));

        assertThat(reservations.reserve(2, 1, reservation("second", 0)))
                .isInstanceOf(ReservationDecision.Answered.class);
    }

    @Test
    void an_operator_cannot_free_the_key_of_a_call_that_is_running_or_may_still_be_in_transit() {
        reservations.reserve(1, 0, reservation("first", 0));
        assertThat(reservations.release(DAY_MILLIS, "first")).isFalse();

        reservations.gatewayLeft("gateway");

        assertThat(reservations.release(599_999, "first")).isFalse();
        assertThat(reservations.release(600_000, "first")).isTrue();
        assertThat(reservations.reserve(2, 1, reservation("second", 0))).isEqualTo(ReservationDecision.Won.INSTANCE);
    }

    @Test
    void an_identifier_that_reserved_one_key_does_not_win_another() {
        reservations.reserve(1, 0, reservation("first", 0));
        Reservation other = new Reservation("first", "customer", "/bookings", "other", "body", "gateway", 0);

        assertThat(reservations.reserve(2, 1, other)).isEqualTo(ReservationDecision.OtherBody.INSTANCE);
    }

    @Test
    void calls_that_were_not_run_leave_no_state() {
        for (int call = 0; call < 1_000; call++) {
            reservations.reserve(call + 1, 0, reservation("call-" + call, 0));
            reservations.record(outcome("call-" + call, Disposition.NOT_RUN));
        }

        assertThat(reservations.export()).isEmpty();
    }

    private static Reservation reservation(String id, long reservedAtMillis) {
        return new Reservation(id, "customer", "/bookings", "key", "body", "gateway", reservedAtMillis);
    }

    private static ReservationOutcome outcome(String id, Disposition disposition) {
        return new ReservationOutcome(id, disposition, 200, "text/plain", "done", true);
    }
}
