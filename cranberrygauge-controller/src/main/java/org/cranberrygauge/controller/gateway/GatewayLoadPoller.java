package org.cranberrygauge.controller.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cranberrygauge.decision.fleet.DemandEstimator.GatewayLoad;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.platform.GatewayStatusClient;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * Polls gateways for their load.
 *
 * <p>Invariants: at most one request is in flight to each gateway, and at most {@value #THREADS} in total. A load is
 * dated to the time before its request was sent, so that it never seems newer than it is. Safe for use by several
 * threads.
 */
public final class GatewayLoadPoller {

    private static final int THREADS = 4;

    private final ExecutorService executor = Executors.newFixedThreadPool(THREADS, work -> {
        Thread created = new Thread(work, "gateway-poll");
        created.setDaemon(true);
        return created;
    });

    private final Map<String, Boolean> inFlight = new ConcurrentHashMap<>();

    private final Map<String, GatewayLoad> loads = new ConcurrentHashMap<>();

    private final TimeSource time;

    public GatewayLoadPoller(TimeSource time) {
        this.time = time;
    }

    /**
     * Polls each gateway that has no request in flight, and drops the loads of gateways that are no longer members.
     */
    public void poll(Collection<GatewayMember> members) {
        loads.keySet().retainAll(members.stream().map(GatewayMember::gateway).toList());
        for (GatewayMember member : members) {
            if (inFlight.putIfAbsent(member.gateway(), true) == null) {
                executor.execute(() -> query(member));
            }
        }
    }

    /**
     * Returns the loads that are not older than a limit.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param maxAgeMillis The limit in milliseconds.
     * @return The loads by gateway.
     */
    public Map<String, GatewayLoad> recent(long nowMillis, long maxAgeMillis) {
        Map<String, GatewayLoad> recent = new HashMap<>(loads);
        recent.values().removeIf(load -> nowMillis - load.atMillis() > maxAgeMillis);
        return recent;
    }

    /** Stops polling and interrupts requests in flight. */
    public void stop() {
        executor.shutdownNow();
    }

    private void query(GatewayMember member) {
        long requestedAtMillis = time.monotonicMillis();
        try {
            GatewayStatusClient.fetchReport(member)
                    .filter(report -> report.getGateway().equals(member.gateway()))
                    .ifPresent(report -> loads.put(member.gateway(), load(requestedAtMillis, report)));
        } finally {
            inFlight.remove(member.gateway());
        }
    }

    private static GatewayLoad load(long requestedAtMillis, GatewayReport report) {
        return new GatewayLoad(
                report.getGateway(),
                requestedAtMillis,
                report.isSetSignals() ? report.getSignals() : Map.of(),
                report.getWaiting(),
                report.getInFlight());
    }
}
