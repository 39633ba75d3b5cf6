package org.cranberrygauge.proxy.exchange;

import io.vertx.core.Vertx;
import java.util.Map;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.backend.BackendGate;
import org.cranberrygauge.proxy.backend.BackendReachability;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.leader.UsageCounter;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.BackendLoad;
import org.cranberrygauge.proxy.routing.EngineProfiles;
import org.cranberrygauge.proxy.routing.LoadTable;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.proxy.stream.OriginLookup;
import org.cranberrygauge.proxy.stream.StreamDirectory;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What all exchanges use.
 *
 * @param host The name of this host.
 * @param regions The region of each data centre, by the name of the data centre.
 * @param loads The load caused by this host's own requests.
 * @param profiles The speed of engines, as this host's own requests show it.
 * @param capacity The measured speed and concurrency limits of backend servers.
 * @param statements What backend servers state of themselves.
 * @param gate Tells whether a request may be sent to a backend server now.
 * @param streams Tells where streams began.
 * @param origins Tells where a stream began that no host knows.
 * @param customerUse The recent usage of customers in the fleet, by which queued requests are ordered.
 * @param queues The requests that wait until a backend server is available and has capacity.
 * @param crashingParts The parts of prompts, and the requests, that crash backend servers.
 * @param crashWatch Finds out which backend servers crashed.
 * @param reachability Tells whether this host is isolated from all backend servers.
 * @param memory The memory that requests use.
 * @param open The requests that are being read or answered.
 * @param usage Counts the requests that started running.
 * @param usageTime The clocks by which usage is counted.
 */
public record ExchangeContext(
        Vertx vertx,
        TimeSource time,
        String host,
        Map<String, String> regions,
        ProxyBlackboard blackboard,
        BackendClient client,
        HeaderCodec codec,
        BackendChooser chooser,
        LoadTable loads,
        EngineProfiles profiles,
        ServerCapacity capacity,
        BackendStatements statements,
        BackendGate gate,
        PlacementExchange placements,
        StreamDirectory streams,
        OriginLookup origins,
        CustomerUse customerUse,
        PoolWaitQueues queues,
        PoolRetryBudgets budgets,
        CrashingParts crashingParts,
        CrashWatch crashWatch,
        BackendReachability reachability,
        RequestMemory memory,
        OpenRequests open,
        UsageCounter usage,
        TimeSource usageTime,
        ExchangeMetrics metrics,
        EventLog events) {

    BackendLoad load(Pool pool, Backend backend) {
        return loads.of(backend.incarnation(), pool.memoryTokens());
    }
}
