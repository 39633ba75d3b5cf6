package org.cranberrygauge.gateway.call;

import java.util.Optional;
import java.util.function.Supplier;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.cranberrygauge.decision.retry.RetryBudgets;
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationManager;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The components shared by all requests of a gateway.
 *
 * @param stop Tells what this gateway, which may stop, still begins.
 * @param gateway The incarnation of the gateway.
 */
public record CallDependencies(
        Scheduler scheduler,
        BackendTableUpdater backends,
        BackendClient client,
        ResponseMemory responses,
        ReservationManager reservations,
        RetryBudgets retries,
        QuarantineEnforcer quarantine,
        UsageCounter usage,
        GatewayMetrics metrics,
        EventLog events,
        ActiveCalls activeCalls,
        TimeSource time,
        Supplier<PlannedStop> stop,
        String gateway) {

    /** The rejection of a call that a stopping gateway does not begin. */
    private static final RequestFailure STOPPING = RequestFailure.notRun(
                    ErrorCode.NOT_ADMITTING, "this gateway is shutting down")
            .withRetryAfter(1_000);

    /**
     * Returns why a call must not be queued or wait any longer, if so: it is quarantined, or this gateway stops.
     *
     * @param begun Whether the caller has a part of the response.
     */
    Optional<RequestFailure> refusal(RequestFingerprint fingerprint, boolean begun) {
        return quarantine.refusal(fingerprint).or(() -> stopRefusal(begun));
    }

    /**
     * Returns why a call must not begin since this gateway stops, if so. How long a call takes is not known in advance.
     *
     * @param begun Whether the caller has a part of the response.
     */
    Optional<RequestFailure> stopRefusal(boolean begun) {
        long nowMillis = time.monotonicMillis();
        boolean begins = stop.get().mayBegin(nowMillis, begun ? nowMillis : Long.MAX_VALUE);
        return begins ? Optional.empty() : Optional.of(STOPPING);
    }
}
