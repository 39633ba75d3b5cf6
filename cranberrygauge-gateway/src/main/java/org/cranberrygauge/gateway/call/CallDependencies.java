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
 * What every request of a gateway works with.
 *
 * @param scheduler The scheduler.
 * @param board The backend servers.
 * @param client The client of backend servers.
 * @param desk The desk for reservations.
 * @param retries The retry budgets.
 * @param guard Applies the quarantine.
 * @param usage The usage counter.
 * @param metrics The metrics.
 * @param events The event log.
 * @param active The requests that wait or run.
 * @param time The sources of time.
 * @param gateway The incarnation of the gateway.
 */
public record CallDependencies(
        Scheduler scheduler,
        BackendTableUpdater board,
        BackendClient client,
        ReservationManager desk,
        RetryBudgets retries,
        QuarantineEnforcer guard,
        UsageCounter usage,
        GatewayMetrics metrics,
        EventLog events,
        ActiveCalls active,
        TimeSource time,
        String gateway) {}
