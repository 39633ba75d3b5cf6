package org.cranberrygauge.verification.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.cranberrygauge.decision.share.SlotDivision.GatewayDemand;
import org.cranberrygauge.emulator.replay.Trace;
import org.cranberrygauge.emulator.replay.TraceFault;
import org.cranberrygauge.emulator.replay.TraceProfile;
import org.cranberrygauge.emulator.replay.TraceRequest;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.Configuration;

/**
 * Replays a trace on a stepped clock through four gateways that know of each other only what they last exchanged.
 *
 * <p>Invariants: the same trace, variant and configuration give the same figures. Used once, by one thread.
 */
final class ReplaySimulation {

    /** The number of gateways. */
    private static final int GATEWAYS = 4;

    /** The time between two ticks of a gateway in milliseconds, as in the gateway. */
    private static final long TICK_MILLIS = 20;

    /** The time between two comparisons of speeds in milliseconds, as in the gateway. */
    private static final long COMPARE_MILLIS = 500;

    /** The time after which requests no longer count in milliseconds. */
    private static final long TAIL_MILLIS = 600_000;

    /** The time from caller to gateway in milliseconds. */
    private static final double CALLER_MILLIS = 3;

    /** The time for which the balancer still sends to a killed gateway in milliseconds. */
    private static final long BALANCER_MILLIS = 500;

    /** The age after which a peer's counts are dropped in milliseconds, as in the gateway. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The time after which the platform's list shows that servers vanished in milliseconds. */
    private static final long LIST_MILLIS = 2_000;

    /** The time after which a withdrawn key stops working in milliseconds. */
    private static final long WITHDRAWAL_MILLIS = 300;

    /** The times that callers send a request again in a storm. */
    private static final int CALLER_RETRIES = 3;

    /** The time after which callers send a request again in a storm in milliseconds. */
    private static final double CALLER_RETRY_MILLIS = 100;

    /** The share of requests that arrives at each gateway where it is uneven. */
    private static final double[] UNEVEN = {0.55, 0.25, 0.15, 0.05};

    /** The configuration. */
    private final Configuration configuration;

    /** The trace. */
    private final Trace trace;

    /** The decisions. */
    private final PolicyVariant variant;

    /** The clock. */
    private final VirtualClock clock = new VirtualClock();

    /** The engines and workers by name. */
    private final Map<String, SimulatedEngine> engines = new TreeMap<>();

    /** The gateways. */
    private final List<ReplayGateway> gateways = new ArrayList<>();

    /** The last exchanged counts by gateway. */
    private final Map<String, ExchangedLoad> exchanged = new TreeMap<>();

    /** The requests. */
    private final List<ReplayedRequest> requests = new ArrayList<>();

    /** Watches the order of tiers. */
    private final TierOrderMonitor check;

    /** The source of randomness. */
    private final Random random;

    /** The time by which reports are late in milliseconds. */
    private final long lateMillis;

    /** The number of requests sent to gateways so far. */
    private long sent;

    /** The number of attempts so far. */
    private long attempts;

    /**
     * Creates a replay.
     *
     * @param configuration The configuration.
     * @param trace The trace.
     * @param variant The decisions.
     */
    ReplaySimulation(Configuration configuration, Trace trace, PolicyVariant variant) {
        this.configuration = configuration;
        this.trace = trace;
        this.variant = variant;
        check = new TierOrderMonitor(configuration);
        random = new Random(trace.seed());
        lateMillis = trace.faults().stream()
                .filter(fault -> fault.kind() == TraceFault.Kind.REPORTS_LATE)
                .mapToLong(fault -> (long) fault.amount())
                .sum();
        for (BackendServer server : configuration.backendServers()) {
            engines.put(server.name(), new SimulatedEngine(clock, server, new Random(trace.seed())));
        }
        for (int index = 0; index < GATEWAYS; index++) {
            gateways.add(new ReplayGateway(
                    "gateway-" + index, this, clock, variant, configuration, new Random(trace.seed() + index)));
        }
    }

    /**
     * Runs the replay.
     *
     * @return The figures.
     */
    ReplayResult run() {
        for (TraceRequest line : trace.requests()) {
            ReplayedRequest request = new ReplayedRequest(
                    line, configuration.serviceClass(line.className()).orElseThrow());
            requests.add(request);
            clock.after(line.arrivalMillis() + CALLER_MILLIS, () -> send(request));
        }
        trace.faults().forEach(this::schedule);
        for (ReplayGateway gateway : gateways) {
            repeat(TICK_MILLIS, () -> tick(gateway));
            repeat(COMPARE_MILLIS, () -> gateway.table().compare(clock.nowMillis()));
            repeat(variant.exchangeMillis(), () -> exchange(gateway));
        }
        clock.runUntil(trace.durationMillis() + TAIL_MILLIS);
        return ReplayResult.of(configuration, trace, requests, new ArrayList<>(engines.values()), gateways, check);
    }

    /**
     * Creates an attempt.
     *
     * @param gateway The gateway.
     * @param server The server.
     * @param request The request.
     * @param requestId The number of the request in the gateway.
     * @return The attempt.
     */
    EngineAttempt attempt(ReplayGateway gateway, BackendServer server, ReplayedRequest request, long requestId) {
        attempts++;
        return new EngineAttempt(gateway, engines.get(server.name()), request, requestId, attempts);
    }

    /**
     * Notes a start.
     *
     * @param gateway The gateway.
     * @param request The request.
     */
    void started(ReplayGateway gateway, ReplayedRequest request) {
        check.started(clock.nowMillis(), gateway.name(), request.serviceClass.name());
    }

    /**
     * Notes a refusal.
     *
     * @param gateway The gateway.
     * @param request The request.
     */
    void refused(ReplayGateway gateway, ReplayedRequest request) {
        check.refused(clock.nowMillis(), gateway, request);
    }

    /**
     * Notes a preemption.
     *
     * @param gateway The gateway.
     * @param attempt The attempt.
     */
    void preempted(ReplayGateway gateway, EngineAttempt attempt) {
        check.preempted(gateway, attempt);
    }

    /**
     * Ends a request, which its caller may send again.
     *
     * @param request The request.
     * @param end The end.
     */
    void end(ReplayedRequest request, ReplayedRequest.End end) {
        boolean storms = trace.profile() == TraceProfile.RETRY_STORM && !request.trace.mutates();
        boolean unhappy = end == ReplayedRequest.End.REFUSED || end == ReplayedRequest.End.FAILED;
        if (storms && unhappy && request.callerRetries < CALLER_RETRIES) {
            request.callerRetries++;
            request.delivered = 0;
            request.firstTokenAtMillis = -1;
            clock.after(CALLER_RETRY_MILLIS, () -> send(request));
            return;
        }
        request.end = end;
        request.endedAtMillis = clock.exactMillis();
    }

    /**
     * Sends a request to a gateway.
     *
     * @param request The request.
     */
    private void send(ReplayedRequest request) {
        long nowMillis = clock.nowMillis();
        if (isKeyWithdrawn(nowMillis, request.trace.customer())) {
            end(request, ReplayedRequest.End.KEY_WITHDRAWN);
            return;
        }
        boolean logOut = trace.faults().stream()
                .anyMatch(fault -> fault.kind() == TraceFault.Kind.LOG_OUTAGE && fault.isOnAt(nowMillis));
        if (logOut && request.trace.mutates()) {
            end(request, ReplayedRequest.End.REFUSED);
            return;
        }
        ReplayGateway gateway = balance(nowMillis);
        if (!gateway.isAlive()) {
            end(request, ReplayedRequest.End.FAILED);
            return;
        }
        sent++;
        gateway.take(sent, request);
    }

    /**
     * Lets the balancer choose a gateway.
     *
     * @param nowMillis The present time in milliseconds.
     * @return The gateway.
     */
    private ReplayGateway balance(long nowMillis) {
        List<ReplayGateway> known = new ArrayList<>(gateways);
        for (TraceFault fault : trace.faults()) {
            boolean noticed = nowMillis >= fault.fromMillis() + BALANCER_MILLIS;
            if (fault.kind() == TraceFault.Kind.GATEWAY_KILLED && noticed) {
                known.remove(gateways.get(Integer.parseInt(fault.subject())));
            }
        }
        if (trace.profile() != TraceProfile.UNEVEN_ARRIVAL) {
            return known.get(random.nextInt(known.size()));
        }
        double left = random.nextDouble();
        int index = 0;
        while (index < GATEWAYS - 1 && left >= UNEVEN[index]) {
            left -= UNEVEN[index];
            index++;
        }
        return gateways.get(index);
    }

    /**
     * Tells whether the key of a customer is known to be withdrawn.
     *
     * @param nowMillis The present time in milliseconds.
     * @param customer The customer.
     * @return Whether it is.
     */
    private boolean isKeyWithdrawn(long nowMillis, String customer) {
        return trace.faults().stream()
                .anyMatch(fault -> fault.kind() == TraceFault.Kind.KEY_WITHDRAWN
                        && fault.subject().equals(customer)
                        && nowMillis >= fault.fromMillis() + WITHDRAWAL_MILLIS
                        && nowMillis < fault.untilMillis() + WITHDRAWAL_MILLIS);
    }

    /**
     * Ticks a gateway.
     *
     * @param gateway The gateway.
     */
    private void tick(ReplayGateway gateway) {
        if (gateway.isAlive()) {
            gateway.tick();
            check.look(clock.nowMillis(), gateway);
        }
    }

    /**
     * Lets a gateway tell its peers what it has, and take in what they told.
     *
     * @param gateway The gateway.
     */
    private void exchange(ReplayGateway gateway) {
        long nowMillis = clock.nowMillis();
        if (!gateway.isAlive()) {
            return;
        }
        ExchangedLoad own = new ExchangedLoad(nowMillis, gateway.table().inFlight(), gateway.demand());
        clock.after(lateMillis + 1, () -> exchanged.put(gateway.name(), own));
        Map<String, Integer> others = new HashMap<>();
        TreeMap<String, Double> demands = new TreeMap<>();
        demands.put(gateway.name(), gateway.demand());
        exchanged.forEach((name, counts) -> {
            boolean fresh = nowMillis - counts.atMillis() <= PEER_EXPIRY_MILLIS + lateMillis;
            if (fresh && !name.equals(gateway.name())) {
                counts.inFlight().forEach((server, count) -> others.merge(server, count, Integer::sum));
                demands.put(name, counts.demand());
            }
        });
        gateway.table().exchange(others, GatewayDemand.of(gateway.name(), demands));
    }

    /**
     * Schedules a fault.
     *
     * @param fault The fault.
     */
    private void schedule(TraceFault fault) {
        switch (fault.kind()) {
            case ENGINE_SLOW -> {
                clock.after(
                        fault.fromMillis(), () -> engines.get(fault.subject()).setSlowness(fault.amount()));
                clock.after(
                        fault.untilMillis(), () -> engines.get(fault.subject()).setSlowness(1));
            }
            case ENGINE_FAILING -> {
                clock.after(
                        fault.fromMillis(), () -> engines.get(fault.subject()).setFailingShare(fault.amount()));
                clock.after(
                        fault.untilMillis(), () -> engines.get(fault.subject()).setFailingShare(0));
            }
            case DATA_CENTRE_EVICTED -> evict(fault);
            case KEY_WITHDRAWN ->
                clock.after(
                        fault.fromMillis() + WITHDRAWAL_MILLIS,
                        () -> gateways.forEach(gateway -> gateway.withdraw(fault.subject())));
            case GATEWAY_KILLED ->
                clock.after(
                        fault.fromMillis(),
                        () -> gateways.get(Integer.parseInt(fault.subject())).kill());
            default -> {
                // Late reports and log outages are looked up where they matter.
            }
        }
    }

    /**
     * Schedules the eviction of a data centre.
     *
     * @param fault The fault.
     */
    private void evict(TraceFault fault) {
        for (SimulatedEngine engine : engines.values()) {
            boolean hit = engine.server().dataCentre().equals(fault.subject())
                    && engine.server().kind() == BackendKind.MODEL;
            if (!hit) {
                continue;
            }
            String name = engine.server().name();
            clock.after(fault.fromMillis(), engine::vanish);
            clock.after(fault.fromMillis() + LIST_MILLIS, () -> setAvailable(name, false));
            clock.after(fault.untilMillis(), engine::comeBack);
            clock.after(fault.untilMillis() + LIST_MILLIS, () -> setAvailable(name, true));
        }
    }

    /**
     * Sets on all gateways whether a server may get new work.
     *
     * @param server The name of the server.
     * @param available Whether it may.
     */
    private void setAvailable(String server, boolean available) {
        gateways.forEach(gateway -> gateway.table().setAvailable(server, available));
    }

    /**
     * Repeats an action until the end of the replay.
     *
     * @param intervalMillis The time between two repetitions in milliseconds.
     * @param action The action.
     */
    private void repeat(long intervalMillis, Runnable action) {
        clock.after(intervalMillis, () -> {
            action.run();
            repeat(intervalMillis, action);
        });
    }

    /**
     * What a gateway last told its peers.
     *
     * @param atMillis The time at which it counted in milliseconds.
     * @param inFlight The requests in flight by server.
     * @param demand The work in flight and waiting.
     */
    private record ExchangedLoad(long atMillis, Map<String, Integer> inFlight, double demand) {}
}
