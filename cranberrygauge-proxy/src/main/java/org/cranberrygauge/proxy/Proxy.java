package org.cranberrygauge.proxy;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.decision.backend.BackendLimits;
import org.cranberrygauge.decision.backend.BackendStatements;
import org.cranberrygauge.decision.backend.ColdServers;
import org.cranberrygauge.decision.backend.HeldPermits;
import org.cranberrygauge.decision.capacity.ServerCapacity;
import org.cranberrygauge.decision.fairness.CustomerUse;
import org.cranberrygauge.decision.quarantine.BackendCrash;
import org.cranberrygauge.decision.quarantine.CrashingParts;
import org.cranberrygauge.proxy.admission.RequestAdmission;
import org.cranberrygauge.proxy.backend.BackendGate;
import org.cranberrygauge.proxy.backend.BackendReachability;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.Pool;
import org.cranberrygauge.proxy.control.BackendFollower;
import org.cranberrygauge.proxy.control.ConfigurationFollower;
import org.cranberrygauge.proxy.control.ControlEvents;
import org.cranberrygauge.proxy.control.ControllerContext;
import org.cranberrygauge.proxy.control.CrashExchange;
import org.cranberrygauge.proxy.control.CrashRecorder;
import org.cranberrygauge.proxy.control.EvacuationFollower;
import org.cranberrygauge.proxy.control.FleetController;
import org.cranberrygauge.proxy.control.HostNetwork;
import org.cranberrygauge.proxy.control.LeaderElection;
import org.cranberrygauge.proxy.control.OriginRecorder;
import org.cranberrygauge.proxy.control.PeerReportExchange;
import org.cranberrygauge.proxy.control.PermitExchange;
import org.cranberrygauge.proxy.control.StreamOriginExchange;
import org.cranberrygauge.proxy.control.Timers;
import org.cranberrygauge.proxy.control.UsageCountWriter;
import org.cranberrygauge.proxy.control.UsageMetrics;
import org.cranberrygauge.proxy.control.UsageReportController;
import org.cranberrygauge.proxy.control.UsageTimes;
import org.cranberrygauge.proxy.exchange.BackendClient;
import org.cranberrygauge.proxy.exchange.CallerHandler;
import org.cranberrygauge.proxy.exchange.CrashWatch;
import org.cranberrygauge.proxy.exchange.ExchangeContext;
import org.cranberrygauge.proxy.exchange.ExchangeMetrics;
import org.cranberrygauge.proxy.exchange.HostMetrics;
import org.cranberrygauge.proxy.exchange.HostServers;
import org.cranberrygauge.proxy.exchange.IngressServer;
import org.cranberrygauge.proxy.exchange.LoadShedding;
import org.cranberrygauge.proxy.exchange.OpenRequests;
import org.cranberrygauge.proxy.exchange.PoolRetryBudgets;
import org.cranberrygauge.proxy.exchange.PoolWaitQueues;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.exchange.RequestMemory;
import org.cranberrygauge.proxy.exchange.SpeedReporter;
import org.cranberrygauge.proxy.leader.JumpTolerantTimeSource;
import org.cranberrygauge.proxy.leader.UsageCounter;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.EngineProfiles;
import org.cranberrygauge.proxy.routing.LoadTable;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.proxy.stream.StreamDirectory;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * One proxy process. Requests run on one event loop and the controllers on another; both share the
 * {@link ProxyBlackboard}.
 * Thread-safe.
 */
public final class Proxy {

    /** The part of the bound for withdrawn keys that is not used, as a safety margin. */
    private static final long KEY_BOUND_MARGIN_MILLIS = 250;

    /** The interval between publications of this host's load. */
    private static final long PUBLISH_INTERVAL_MILLIS = 100;

    /** The interval between checks of the queued requests. */
    private static final long DISPATCH_INTERVAL_MILLIS = 25;

    private final ProxySettings settings;

    private final ProxyDependencies dependencies;

    private final Vertx vertx;

    private final TimeSource time;

    /** The clocks by which usage is counted. */
    private final TimeSource usageTime;

    private final EventLog events;

    private final ProxyBlackboard blackboard = new ProxyBlackboard();

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final PlacementExchange placements = new PlacementExchange();

    /** What backend servers state of themselves. */
    private final BackendStatements statements = new BackendStatements();

    /** The backend servers that are cold. */
    private final ColdServers cold = new ColdServers(this::coldPerSecond);

    private final BackendLimits limits = new BackendLimits(statements, cold);

    private final HeldPermits permits = new HeldPermits();

    /** The recent usage of customers in the fleet. */
    private final CustomerUse customerUse = new CustomerUse();

    private final PoolWaitQueues queues = new PoolWaitQueues(customerUse, new SplittableRandom());

    /** Exists once the controllers have started. */
    private PermitExchange permitExchange;

    /** Exists once the controllers have started, and is used on their event loop. */
    private StreamDirectory streams;

    /** Exists once the controllers have started, and is used on their event loop. */
    private OriginRecorder origins;

    private final BackendReachability reachability;

    private final CrashingParts crashingParts = new CrashingParts();

    /** Exists once the controllers have started, and is used on their event loop. */
    private CrashExchange crashExchange;

    /** The event loop of the controllers. */
    private final Context controlContext;

    /** The event loop of requests. */
    private final Context requestContext;

    /** The memory that requests use, on the event loop of requests. */
    private final RequestMemory memory;

    /** The requests that are being read or answered, on the event loop of requests. */
    private final OpenRequests open = new OpenRequests();

    /** The servers for callers and for other hosts; empty before they listen. */
    private volatile List<IngressServer> ingress = List.of();

    private final ExchangeMetrics exchangeMetrics = new ExchangeMetrics(registry);

    private LeaderElection election;

    /** Whether the queued requests are checked next; used on the event loop of requests. */
    private boolean dispatchScheduled;

    private UsageCountWriter usageWriter;

    public Proxy(
            ProxySettings settings, ProxyDependencies dependencies, Vertx vertx, TimeSource time, EventLog events) {
        this(settings, dependencies, vertx, time, events, RequestMemory.defaultBytes(Runtime.getRuntime()));
    }

    /** @param memoryBytes The bytes that all requests together may use. */
    public Proxy(
            ProxySettings settings,
            ProxyDependencies dependencies,
            Vertx vertx,
            TimeSource time,
            EventLog events,
            long memoryBytes) {
        this.memory = new RequestMemory(memoryBytes, time, exchangeMetrics, events);
        this.settings = settings;
        this.dependencies = dependencies;
        this.vertx = vertx;
        this.time = time;
        this.events = events;
        this.usageTime = new JumpTolerantTimeSource(time);
        this.controlContext = vertx.getOrCreateContext();
        this.requestContext = vertx.getOrCreateContext();
        this.reachability = new BackendReachability(vertx, time, blackboard::backends, events);
    }

    /** Starts the controllers, then the servers; completes when callers can connect. */
    public Future<Void> start() {
        AtomicReference<Map<String, Work>> ownWork = new AtomicReference<>(Map.of());
        UsageCounter usage = new UsageCounter(settings.times().usageWindowMillis());
        Promise<Void> started = Promise.promise();
        controlContext.runOnContext(run -> startControllers(ownWork, usage)
                .onComplete(done -> requestContext.runOnContext(next -> startIngress(ownWork, usage)
                        .onSuccess(listening -> events.emit(new ProxyEvents.ProxyStarted(
                                settings.host(), settings.dataCentre(), Program.version())))
                        .onComplete(started))));
        return started.future();
    }

    /**
     * Tells whether this host accepts requests: it does not drain, knows the backend servers, and its configuration is
     * recent enough to honour keys.
     */
    public boolean ready() {
        ConfigurationView view = blackboard.configuration();
        return !blackboard.draining()
                && blackboard.backends().known()
                && view.isFresh(time.monotonicMillis(), time.wallMillis(), maximumKeyAgeMillis());
    }

    /** Returns the number of hosts that this one counts as members of the fleet, including itself. */
    public int knownHosts() {
        return blackboard.peers().hosts();
    }

    /** Returns the bytes that are reserved for the requests in progress. */
    public long reservedBytes() {
        return memory.reservedBytes();
    }

    /**
     * Stops the process: reports it as not ready, releases leadership, waits for the requests in progress, answers those that are
     * left, and closes the connections of callers. Blocks at most for the grace period.
     *
     * @return The number of requests that were cut off.
     */
    public int stop() {
        controlContext.runOnContext(run -> election.leave());
        return new StopSequence(blackboard, open, memory, requestContext, time, events)
                .run(
                        new DrainWait(time.monotonicMillis(), settings.times().graceMillis()),
                        () -> controlContext.runOnContext(run -> usageWriter.flush()),
                        ingress);
    }

    private Future<Void> startControllers(AtomicReference<Map<String, Work>> ownWork, UsageCounter usage) {
        ProxySettings.Times times = settings.times();
        ControllerContext context = new ControllerContext(vertx, time, dependencies.log(), blackboard, events);
        String incarnation = Program.incarnation(settings.host(), time.wallMillis());
        HostNetwork network = HostNetwork.of(context, settings, dependencies.hostTopic());
        dependencies
                .log()
                .era()
                .onChange((previous, current) -> events.emit(new ControlEvents.StoreEraChanged(previous, current)));
        startFollowers(context, network);
        election = new LeaderElection(context, network.relay(), incarnation, times.leaseMillis());
        election.start();
        startUsage(network, usage, incarnation);
        new FleetController(context, election, dependencies.controlPlane(), ownWork).start();
        permitExchange =
                new PermitExchange(time, network.peers(), network.channel(), limits, permits, this::dispatchQueued);
        Timers timers = context.timers();
        streams = new StreamOriginExchange(time, timers, network.peers(), network.channel());
        crashExchange =
                new CrashExchange(time, network.peers(), network.channel(), crashingParts, events, new Random());
        vertx.setPeriodic(CrashExchange.INTERVAL_MILLIS, fired -> crashExchange.update());
        new CrashRecorder(context, timers, dependencies.crashTopic(), crashExchange, network.relay()::readsAlone)
                .start();
        return new PeerReportExchange(
                        context,
                        settings,
                        network,
                        time.wallMillis(),
                        placements,
                        statements,
                        permitExchange,
                        reachability,
                        customerUse,
                        ownWork)
                .start();
    }

    /** Starts to follow the configuration and the list of backend servers, and to store the versions of the latter. */
    private void startFollowers(ControllerContext context, HostNetwork network) {
        ProxySettings.Times times = settings.times();
        new ConfigurationFollower(
                        context,
                        network.relay(),
                        dependencies.configurationTopic(),
                        dependencies.configurationKey(),
                        dependencies.configurations(),
                        network.peers()::configurationVersion,
                        new EvacuationFollower(context, dependencies.evacuationKeyPrefix(), cold),
                        times.configurationMillis())
                .start();
        origins = new OriginRecorder(
                context,
                context.timers(),
                dependencies.originTopic(),
                settings.host(),
                settings.firstStart(),
                network.relay()::readsAlone);
        origins.start();
        new BackendFollower(
                        context,
                        network.relay(),
                        dependencies.backendTopic(),
                        dependencies.backends(),
                        statements::isLeaving,
                        cold,
                        origins::observe,
                        times.leavingMillis(),
                        times.entryExpiryMillis())
                .start();
    }

    /** Starts to write and report usage, by clocks that ignore short jumps. */
    private void startUsage(HostNetwork network, UsageCounter usage, String incarnation) {
        ControllerContext context = new ControllerContext(vertx, usageTime, dependencies.log(), blackboard, events);
        usageWriter = new UsageCountWriter(context, network, usage, incarnation);
        usageWriter.start();
        new UsageReportController(
                        context,
                        context.timers(),
                        election,
                        dependencies.controlPlane(),
                        dependencies.decidedUsageTopic(),
                        new UsageMetrics(registry),
                        UsageTimes.of(settings.times()))
                .start();
    }

    /** Returns the requests per second that a cold server of a pool takes; 0 if it takes any rate or is unknown. */
    private double coldPerSecond(String pool) {
        return blackboard
                .configuration()
                .configuration()
                .map(known -> known.pools().get(pool))
                .map(Pool::coldPerSecond)
                .orElse(0.0);
    }

    /** Requests permits for a backend server on the event loop of the controllers. */
    private void requestPermit(String incarnation) {
        controlContext.runOnContext(run -> permitExchange.request(incarnation));
    }

    /** Sends the queued requests that can be sent by now, on the event loop of requests. */
    private void dispatchQueued() {
        requestContext.runOnContext(run -> queues.dispatch(time.monotonicMillis()));
    }

    /** Checks the queued requests after an interval, and again until none is queued. */
    private void scheduleDispatch() {
        if (dispatchScheduled) {
            return;
        }
        dispatchScheduled = true;
        vertx.setTimer(DISPATCH_INTERVAL_MILLIS, fired -> {
            dispatchScheduled = false;
            queues.dispatch(time.monotonicMillis());
            if (queues.size() > 0) {
                scheduleDispatch();
            }
        });
    }

    /** Records the crash of a backend server on the event loop of the controllers. */
    private void recordCrash(BackendCrash crash) {
        controlContext.runOnContext(run -> crashExchange.record(crash));
    }

    private Future<Void> startIngress(AtomicReference<Map<String, Work>> ownWork, UsageCounter usage) {
        ProxySettings.Times times = settings.times();
        LoadTable loads = new LoadTable();
        EngineProfiles profiles = new EngineProfiles();
        ServerCapacity capacity = new ServerCapacity();
        HostMetrics hostMetrics = new HostMetrics(registry);
        SpeedReporter speeds = new SpeedReporter(capacity, blackboard, hostMetrics, events);
        EventLoopStreams eventLoopStreams =
                new EventLoopStreams(controlContext, requestContext, () -> streams, () -> origins);
        ExchangeContext context = new ExchangeContext(
                vertx,
                time,
                settings.host(),
                settings.regions(),
                blackboard,
                new BackendClient(vertx, dependencies.codec(), events),
                dependencies.codec(),
                new BackendChooser(settings.dataCentre(), loads, profiles, capacity, new SplittableRandom()),
                loads,
                profiles,
                capacity,
                statements,
                new BackendGate(limits, permits, this::requestPermit),
                placements,
                eventLoopStreams,
                eventLoopStreams,
                customerUse,
                queues,
                new PoolRetryBudgets(
                        time.monotonicMillis(), times.retryWindowMillis(), times.retryRatio(), times.retryAllowance()),
                crashingParts,
                new CrashWatch(vertx, blackboard, statements, reachability, this::recordCrash),
                reachability,
                memory,
                open,
                usage,
                usageTime,
                exchangeMetrics,
                events);
        RequestAdmission admission = new RequestAdmission(maximumKeyAgeMillis(), times.configurationMillis());
        queues.onQueued(this::scheduleDispatch);
        vertx.setPeriodic(PUBLISH_INTERVAL_MILLIS, fired -> {
            placements.applyTo(loads);
            ownWork.set(loads.work());
            blackboard.publish(profiles.snapshot());
            blackboard.publishPrefill(profiles.prefill());
            loads.removeUnlisted(blackboard.backends());
            speeds.publish(time.monotonicMillis());
            hostMetrics.recordLoopDelay(blackboard.loopDelay().orElse(-1));
            memory.update();
            publishMetrics(hostMetrics, queues.size());
        });
        LoadShedding shedding = new LoadShedding(vertx, time, blackboard, events, new SplittableRandom());
        shedding.start();
        HostServers servers = new HostServers(
                vertx,
                settings,
                time,
                events,
                registry,
                () -> blackboard.configuration().configuration());
        ingress = servers.ingress();
        return servers.listen(
                new CallerHandler(context, admission, shedding, servers.maximumRequests(), servers::isCrowded),
                this::ready);
    }

    /** Updates the metrics of the host's state. */
    private void publishMetrics(HostMetrics metrics, int waitingRequests) {
        ConfigurationView view = blackboard.configuration();
        metrics.recordRequests(open.count(), waitingRequests);
        metrics.recordState(
                view.configuration().map(known -> known.version()).orElse(-1L),
                view.loggedAgeMillis(time.monotonicMillis()),
                blackboard.backends().all().size(),
                blackboard.budgetShare().hosts(),
                ready());
        metrics.recordMemory(memory.reservedBytes());
        metrics.recordRestrictions(blackboard.evacuated().size(), cold.count(time.monotonicMillis()));
        metrics.recordRetained(blackboard.backends().retained());
    }

    /** Returns the age of the configuration up to which keys are honoured. */
    private long maximumKeyAgeMillis() {
        return settings.times().keyWithdrawalMillis() - KEY_BOUND_MARGIN_MILLIS;
    }
}
