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
 * Asks gateways for their load.
 *
 * <p>Invariants: at most one question is under way to each gateway, and a bounded number to all; the time of a load is taken
 * before its question was sent. Safe for use by several threads.
 */
public final class GatewayLoadPoller {

    /** The number of gateways that are asked at once. */
    private static final int THREADS = 4;

    /** The threads that ask. */
    private final ExecutorService threads = Executors.newFixedThreadPool(THREADS, work -> {
        Thread created = new Thread(work, "gateway-poll");
        created.setDaemon(true);
        return created;
    });

    /** The gateways that are being asked. */
    private final Map<String, Boolean> asked = new ConcurrentHashMap<>();

    /** The last load of each gateway. */
    private final Map<String, GatewayLoad> loads = new ConcurrentHashMap<>();

    /** The sources of time. */
    private final TimeSource time;

    /**
     * Creates a poll.
     *
     * @param time The sources of time.
     */
    public GatewayLoadPoller(TimeSource time) {
        this.time = time;
    }

    /**
     * Asks each gateway that is not being asked, and forgets those that are no members.
     *
     * @param members The gateways that joined and did not leave.
     */
    public void ask(Collection<GatewayMember> members) {
        loads.keySet().retainAll(members.stream().map(GatewayMember::gateway).toList());
        for (GatewayMember member : members) {
            if (asked.putIfAbsent(member.gateway(), true) == null) {
                threads.execute(() -> ask(member));
            }
        }
    }

    /**
     * Returns the loads that are not older than a limit.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param ageMillis The limit in milliseconds.
     * @return The loads by gateway.
     */
    public Map<String, GatewayLoad> loads(long nowMillis, long ageMillis) {
        Map<String, GatewayLoad> recent = new HashMap<>(loads);
        recent.values().removeIf(load -> nowMillis - load.atMillis() > ageMillis);
        return recent;
    }

    /** Stops to ask. */
    public void stop() {
        threads.shutdownNow();
    }

    /**
     * Asks a gateway.
     *
     * @param member The gateway.
     */
    private void ask(GatewayMember member) {
        long askedAtMillis = time.monotonicMillis();
        try {
            GatewayStatusClient.ask(member)
                    .filter(report -> report.getGateway().equals(member.gateway()))
                    .ifPresent(report -> loads.put(member.gateway(), load(askedAtMillis, report)));
        } finally {
            asked.remove(member.gateway());
        }
    }

    /**
     * Reads the load from a report.
     *
     * @param askedAtMillis The monotonic time before the question was sent.
     * @param report The report.
     * @return The load.
     */
    private static GatewayLoad load(long askedAtMillis, GatewayReport report) {
        return new GatewayLoad(
                report.getGateway(),
                askedAtMillis,
                report.isSetSignals() ? report.getSignals() : Map.of(),
                report.getWaiting(),
                report.getInFlight());
    }
}
