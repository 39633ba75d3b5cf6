package org.cranberrygauge.decision.state;

import org.cranberrygauge.decision.configuration.ConfigurationMachine;
import org.cranberrygauge.decision.reservation.ReservationVerdict;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;

/** What became of a record that somebody may wait for. */
public sealed interface Effect {

    /**
     * A reservation was judged.
     *
     * @param reservationId The identifier of the reservation.
     * @param verdict The verdict.
     */
    record ReservationJudged(String reservationId, ReservationVerdict verdict) implements Effect {}

    /**
     * The release of an idempotency key by an operator was judged.
     *
     * @param reservationId The identifier of the reservation.
     * @param operator The operator.
     * @param freed Whether the key is free.
     */
    record ReleaseJudged(String reservationId, String operator, boolean freed) implements Effect {}

    /**
     * A change of the configuration was judged.
     *
     * @param changeId The identifier of the change.
     * @param operator The operator.
     * @param offset The offset of its log entry.
     * @param verdict The verdict.
     */
    record ChangeJudged(String changeId, String operator, long offset, ConfigurationMachine.Verdict verdict)
            implements Effect {}

    /**
     * The intent of an order was judged.
     *
     * @param intent The intent.
     * @param valid Whether it carries the fencing number in force.
     */
    record IntentJudged(OrderIntent intent, boolean valid) implements Effect {}
}
