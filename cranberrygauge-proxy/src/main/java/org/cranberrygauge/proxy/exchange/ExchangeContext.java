package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.leader.UsageCounter;
import org.cranberrygauge.proxy.retry.CrashTracker;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.BackendLoad;
import org.cranberrygauge.proxy.routing.LoadTable;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What each exchange needs.
 *
 * @param vertx The Vert.x instance.
 * @param time The clocks.
 * @param state What the host believes.
 * @param client Opens connections to backend servers.
 * @param dialect Translates headers.
 * @param chooser Chooses backend servers.
 * @param loads The loads by this host's own requests.
 * @param placements Tells other hosts which engine reads which prompt part.
 * @param lines The requests that wait for room.
 * @param budgets The budgets of repeats.
 * @param crashes The requests that crash backend servers.
 * @param usage Counts the requests that began to run.
 * @param usageTime The clocks by which they are counted.
 * @param metrics The metrics.
 * @param events The event log.
 */
public record ExchangeContext(
        Vertx vertx,
        TimeSource time,
        ProxyState state,
        BackendClient client,
        HeaderCodec dialect,
        BackendChooser chooser,
        LoadTable loads,
        PlacementExchange placements,
        PoolWaitQueues lines,
        PoolRetryBudgets budgets,
        CrashTracker crashes,
        UsageCounter usage,
        TimeSource usageTime,
        ExchangeMetrics metrics,
        EventLog events) {

    /**
     * Returns the load of a backend server.
     *
     * @param pool Its pool.
     * @param backend The backend server.
     * @return The load.
     */
    BackendLoad load(Pool pool, Backend backend) {
        return loads.of(backend.incarnation(), pool.memoryTokens());
    }
}
