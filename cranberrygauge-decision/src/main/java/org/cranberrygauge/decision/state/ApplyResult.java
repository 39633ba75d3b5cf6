package org.cranberrygauge.decision.state;

import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.model.record.LogRecord.OrderIntent;

/** The result of applying a record that a process may be waiting for. */
public sealed interface ApplyResult {

    /** The decision on a reservation. */
    record ReservationResult(String reservationId, ReservationDecision decision) implements ApplyResult {}

    /**
     * The result of an operator's release of an idempotency key.
     *
     * @param freed Whether the key was freed.
     */
    record ReleaseResult(String reservationId, String operator, boolean freed) implements ApplyResult {}

    /**
     * The verdict on a configuration change.
     *
     * @param offset The offset of its log entry.
     */
    record ChangeResult(String changeId, String operator, long offset, ConfigurationState.Verdict verdict)
            implements ApplyResult {}

    /**
     * The verdict on an order intent.
     *
     * @param valid Whether the intent carries the fencing number in force.
     */
    record IntentResult(OrderIntent intent, boolean valid) implements ApplyResult {}
}
