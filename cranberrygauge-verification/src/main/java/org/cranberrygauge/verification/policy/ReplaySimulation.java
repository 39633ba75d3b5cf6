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
 * Simulates a trace on virtual time with four gateways that know of each other only what they last exchanged.
 *
 * <p>Invariants: the same trace, variant and configuration give the same result. Run once, by one thread.
 */
final class ReplaySimulation {

    private static final int GATEWAYS = 4;

    /** The interval between two ticks of a gateway, as in the gateway. */
    private static final long TICK_MILLIS = 20;

    /** The interval between two comparisons of engine speeds, as in the gateway. */
    private static final long SPEED_COMPARISON_MILLIS = 500;

    /** The time that the simulation continues after the end of the trace. */
    private static final long TAIL_MILLIS = 600_000;

    /** The one-way network latency between caller and gateway. */
    private static final double CALLER_LATENCY_MILLIS = 3;

    /** The time until the load balancer notices that a gateway was killed. */
    private static final long BALANCER_DETECTION_MILLIS = 500;

    /** The age at which a peer's counts are dropped, as in the gateway. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The delay until the platform's list of backend servers reflects a change. */
    private static final long LIST_LAG_MILLIS = 2_000;

    /** The delay until a withdrawn key stops working. */
    private static final long WITHDRAWAL_DELAY_MILLIS = 300;

    /** The number of times that a caller sends a failed request again in a retry storm. */
    private static final int CALLER_RETRIES = 3;

    /** The delay before a caller sends a failed request again in a retry storm. */
    private static final double CALLER_RETRY_DELAY_MILLIS = 100;

    /** The share of requests that arrives at each gateway when arrival is uneven. */
    private static final double[] UNEVEN_ARRIVAL_SHARES = {0.55, 0.25, 0.15, 0.05};

    private final Configuration configuration;

    private final Trace trace;

    private final PolicyVariant variant;

    private final VirtualClock clock = new VirtualClock();

    /** The engines and service workers by name. */
    private final Map<String, SimulatedEngine> engines = new TreeMap<>();

    private final List<ReplayGateway> gateways = new ArrayList<>();

    /** The counts that each gateway last reported. */
    private final Map<String, ExchangedLoad> exchanged = new TreeMap<>();

    private final List<ReplayedRequest> requests = new ArrayList<>();

    private final TierOrderMonitor monitor;

    private final Random random;

    /** The time by which reports between gateways are delayed. */
    private final long reportDelayMillis;

    private long sent;

    private long attempts;

    ReplaySimulation(Configuration configuration, Trace trace, PolicyVariant variant) {
        this.configuration = configuration;
        this.trace = trace;
        this.variant = variant;
        monitor = new TierOrderMonitor(configuration);
        random = new Random(trace.seed());
        reportDelayMillis = trace.faults().stream()
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

    ReplayResult run() {
        for (TraceRequest line : trace.requests()) {
            ReplayedRequest request = new ReplayedRequest(
                    line, configuration.serviceClass(line.className()).orElseThrow());
            requests.add(request);
            clock.after(line.arrivalMillis() + CALLER_LATENCY_MILLIS, () -> send(request));
        }
        trace.faults().forEach(this::schedule);
        for (ReplayGateway gateway : gateways) {
            repeat(TICK_MILLIS, () -> tick(gateway));
            repeat(SPEED_COMPARISON_MILLIS, () -> gateway.table().compare(clock.nowMillis()));
            repeat(variant.exchangeMillis(), () -> exchange(gateway));
        }
        clock.runUntil(trace.durationMillis() + TAIL_MILLIS);
        return ReplayResult.of(configuration, trace, requests, new ArrayList<>(engines.values()), gateways, monitor);
    }

    EngineAttempt attempt(ReplayGateway gateway, BackendServer server, ReplayedRequest request, long requestId) {
        attempts++;
        return new EngineAttempt(gateway, engines.get(server.name()), request, requestId, attempts);
    }

    void started(ReplayGateway gateway, ReplayedRequest request) {
        monitor.onStart(clock.nowMillis(), gateway.name(), request.serviceClass.name());
    }

    void refused(ReplayGateway gateway, ReplayedRequest request) {
        monitor.onRefusal(clock.nowMillis(), gateway, request);
    }

    void preempted(ReplayGateway gateway, EngineAttempt attempt) {
        monitor.onPreemption(gateway, attempt);
    }

    /** Ends a request, or sends it again if its caller retries. */
    void end(ReplayedRequest request, ReplayedRequest.End end) {
        boolean retryStorm = trace.profile() == TraceProfile.RETRY_STORM && !request.trace.mutates();
        boolean unsuccessful = end == ReplayedRequest.End.REFUSED || end == ReplayedRequest.End.FAILED;
        if (retryStorm && unsuccessful && request.callerRetries < CALLER_RETRIES) {
            request.callerRetries++;
            request.delivered = 0;
            request.firstTokenAtMillis = -1;
            clock.after(CALLER_RETRY_DELAY_MILLIS, () -> send(request));
            return;
        }
        request.end = end;
        request.endedAtMillis = clock.exactMillis();
    }

    private void send(ReplayedRequest request) {
        long nowMillis = clock.nowMillis();
        if (isKeyWithdrawn(nowMillis, request.trace.customer())) {
            end(request, ReplayedRequest.End.KEY_WITHDRAWN);
            return;
        }
        boolean logUnavailable = trace.faults().stream()
                .anyMatch(fault -> fault.kind() == TraceFault.Kind.LOG_OUTAGE && fault.isActiveAt(nowMillis));
        if (logUnavailable && request.trace.mutates()) {
            end(request, ReplayedRequest.End.REFUSED);
            return;
        }
        ReplayGateway gateway = balance(nowMillis);
        if (!gateway.isAlive()) {
            end(request, ReplayedRequest.End.FAILED);
            return;
        }
        sent++;
        gateway.accept(sent, request);
    }

    /** Chooses a gateway as the load balancer does. */
    private ReplayGateway balance(long nowMillis) {
        List<ReplayGateway> candidates = new ArrayList<>(gateways);
        for (TraceFault fault : trace.faults()) {
            boolean detected = nowMillis >= fault.fromMillis() + BALANCER_DETECTION_MILLIS;
            if (fault.kind() == TraceFault.Kind.GATEWAY_KILLED && detected) {
                candidates.remove(gateways.get(Integer.parseInt(fault.subject())));
            }
        }
        if (trace.profile() != TraceProfile.UNEVEN_ARRIVAL) {
            return candidates.get(random.nextInt(candidates.size()));
        }
        double remaining = random.nextDouble();
        int index = 0;
        while (index < GATEWAYS - 1 && remaining >= UNEVEN_ARRIVAL_SHARES[index]) {
            remaining -= UNEVEN_ARRIVAL_SHARES[index];
            index++;
        }
        return gateways.get(index);
    }

    /** Tells whether the gateways know that the key of a customer is withdrawn. */
    private boolean isKeyWithdrawn(long nowMillis, String customer) {
        return trace.faults().stream()
                .anyMatch(fault -> fault.kind() == TraceFault.Kind.KEY_WITHDRAWN
                        && fault.subject().equals(customer)
                        && nowMillis >= fault.fromMillis() + WITHDRAWAL_DELAY_MILLIS
                        && nowMillis < fault.untilMillis() + WITHDRAWAL_DELAY_MILLIS);
    }

    private void tick(ReplayGateway gateway) {
        if (gateway.isAlive()) {
            gateway.tick();
            monitor.sampleWaiting(clock.nowMillis(), gateway);
        }
    }

    /** Reports the counts of a gateway to its peers and applies those that it has received. */
    private void exchange(ReplayGateway gateway) {
        long nowMillis = clock.nowMillis();
        if (!gateway.isAlive()) {
            return;
        }
        ExchangedLoad own = new ExchangedLoad(nowMillis, gateway.table().inFlight(), gateway.demand());
        clock.after(reportDelayMillis + 1, () -> exchanged.put(gateway.name(), own));
        Map<String, Integer> others = new HashMap<>();
        TreeMap<String, Double> demands = new TreeMap<>();
        demands.put(gateway.name(), gateway.demand());
        exchanged.forEach((name, counts) -> {
            boolean fresh = nowMillis - counts.atMillis() <= PEER_EXPIRY_MILLIS + reportDelayMillis;
            if (fresh && !name.equals(gateway.name())) {
                counts.inFlight().forEach((server, count) -> others.merge(server, count, Integer::sum));
                demands.put(name, counts.demand());
            }
        });
        gateway.table().exchange(others, GatewayDemand.of(gateway.name(), demands));
    }

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
                        fault.fromMillis(), () -> engines.get(fault.subject()).setFailureRate(fault.amount()));
                clock.after(
                        fault.untilMillis(), () -> engines.get(fault.subject()).setFailureRate(0));
            }
            case DATA_CENTRE_EVICTED -> evict(fault);
            case KEY_WITHDRAWN ->
                clock.after(
                        fault.fromMillis() + WITHDRAWAL_DELAY_MILLIS,
                        () -> gateways.forEach(gateway -> gateway.onKeyWithdrawn(fault.subject())));
            case GATEWAY_KILLED ->
                clock.after(
                        fault.fromMillis(),
                        () -> gateways.get(Integer.parseInt(fault.subject())).kill());
            default -> {
                // Delayed reports and log outages are read from the trace where they take effect.
            }
        }
    }

    /** Schedules the eviction of all engines of a data centre. */
    private void evict(TraceFault fault) {
        for (SimulatedEngine engine : engines.values()) {
            boolean affected = engine.server().dataCentre().equals(fault.subject())
                    && engine.server().kind() == BackendKind.MODEL;
            if (!affected) {
                continue;
            }
            String name = engine.server().name();
            clock.after(fault.fromMillis(), engine::stop);
            clock.after(fault.fromMillis() + LIST_LAG_MILLIS, () -> setAvailable(name, false));
            clock.after(fault.untilMillis(), engine::restart);
            clock.after(fault.untilMillis() + LIST_LAG_MILLIS, () -> setAvailable(name, true));
        }
    }

    /** Sets on all gateways whether a backend server may receive new requests. */
    private void setAvailable(String server, boolean available) {
        gateways.forEach(gateway -> gateway.table().setAvailable(server, available));
    }

    /** Repeats an action until the end of the simulation. */
    private void repeat(long intervalMillis, Runnable action) {
        clock.after(intervalMillis, () -> {
            action.run();
            repeat(intervalMillis, action);
        });
    }

    /**
     * The counts that a gateway reports to its peers.
     *
     * @param inFlight The requests in flight by backend server.
     * @param demand The number of requests in flight and waiting.
     */
    private record ExchangedLoad(long atMillis, Map<String, Integer> inFlight, double demand) {}
}
