package org.cranberrygauge.decision.state;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;

/** What became of a record that somebody may wait for. */
public sealed interface ApplyResult {

    /**
     * A reservation was judged.
     *
     * @param reservationId The identifier of the reservation.
     * @param verdict The verdict.
     */
    record ReservationResult(String reservationId, ReservationDecision verdict) implements ApplyResult {}

    /**
     * The release of an idempotency key by an operator was judged.
     *
     * @param reservationId The identifier of the reservation.
     * @param operator The operator.
     * @param freed Whether the key is free.
     */
    record ReleaseResult(String reservationId, String operator, boolean freed) implements ApplyResult {}

    /**
     * A change of the configuration was judged.
     *
     * @param changeId The identifier of the change.
     * @param operator The operator.
     * @param offset The offset of its log entry.
     * @param verdict The verdict.
     */
    record ChangeResult(String changeId, String operator, long offset, ConfigurationState.Verdict verdict)
            implements ApplyResult {}

    /**
     * The intent of an order was judged.
     *
     * @param intent The intent.
     * @param valid Whether it carries the fencing number in force.
     */
    record IntentResult(OrderIntent intent, boolean valid) implements ApplyResult {}
}
