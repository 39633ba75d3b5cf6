package org.cranberrygauge.gateway.call;

import org.cranberrygauge.decision.retry.RetryBudgets;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationManager;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * The components shared by all requests of a gateway.
 *
 * @param gateway The incarnation of the gateway.
 */
public record CallDependencies(
        Scheduler scheduler,
        BackendTableUpdater backends,
        BackendClient client,
        ReservationManager reservations,
        RetryBudgets retries,
        QuarantineEnforcer quarantine,
        UsageCounter usage,
        GatewayMetrics metrics,
        EventLog events,
        ActiveCalls activeCalls,
        TimeSource time,
        String gateway) {}
