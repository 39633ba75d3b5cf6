package org.cranberrygauge.proxy;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrygauge.proxy.admission.RequestAdmission;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.control.BackendFollower;
import org.cranberrygauge.proxy.control.ConfigurationFollower;
import org.cranberrygauge.proxy.control.ControllerContext;
import org.cranberrygauge.proxy.control.FleetController;
import org.cranberrygauge.proxy.control.HostNetwork;
import org.cranberrygauge.proxy.control.LeaderElection;
import org.cranberrygauge.proxy.control.PeerReportExchange;
import org.cranberrygauge.proxy.control.UsageCountWriter;
import org.cranberrygauge.proxy.control.UsageReportController;
import org.cranberrygauge.proxy.exchange.BackendClient;
import org.cranberrygauge.proxy.exchange.CallerHandler;
import org.cranberrygauge.proxy.exchange.ExchangeContext;
import org.cranberrygauge.proxy.exchange.ExchangeMetrics;
import org.cranberrygauge.proxy.exchange.HostMetrics;
import org.cranberrygauge.proxy.exchange.IngressServer;
import org.cranberrygauge.proxy.exchange.PoolRetryBudgets;
import org.cranberrygauge.proxy.exchange.PoolWaitQueues;
import org.cranberrygauge.proxy.exchange.ProxyState;
import org.cranberrygauge.proxy.exchange.StatusServer;
import org.cranberrygauge.proxy.leader.JumpTolerantTimeSource;
import org.cranberrygauge.proxy.leader.UsageCounter;
import org.cranberrygauge.proxy.retry.CrashTracker;
import org.cranberrygauge.proxy.routing.BackendChooser;
import org.cranberrygauge.proxy.routing.LoadTable;
import org.cranberrygauge.proxy.routing.PeerLoads.Work;
import org.cranberrygauge.proxy.routing.PlacementExchange;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * One process of the proxy: requests run on one event loop and the controllers on another, which share the board.
 *
 * <p>Safe for use by several threads.
 */
public final class Proxy {

    /** The part of the bound for withdrawn keys that is left unused, in milliseconds. */
    private static final long KEY_MARGIN_MILLIS = 250;

    /** The pause between publications of this host's work, in milliseconds. */
    private static final long PUBLISH_MILLIS = 100;

    /** The pause between looks at the requests that wait for room, in milliseconds. */
    private static final long ADVANCE_MILLIS = 25;

    /** The settings. */
    private final ProxySettings settings;

    /** What the process is connected to. */
    private final ProxyDependencies sources;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The clocks. */
    private final TimeSource time;

    /** The clocks by which usage is counted. */
    private final TimeSource usageTime;

    /** The event log. */
    private final EventLog events;

    /** What the host believes. */
    private final ProxyState state = new ProxyState();

    /** The registry of the metrics. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** Tells other hosts which engine reads which prompt part. */
    private final PlacementExchange placements = new PlacementExchange();

    /** The context of the controllers. */
    private final Context control;

    /** The context of requests. */
    private final Context traffic;

    /** Keeps the host in the group that deals the duties. */
    private LeaderElection election;

    /** Writes usage counts. */
    private UsageCountWriter usageWriter;

    /**
     * Creates a process.
     *
     * @param settings The settings.
     * @param sources What the process is connected to.
     * @param vertx The Vert.x instance.
     * @param time The clocks.
     * @param events The event log.
     */
    public Proxy(ProxySettings settings, ProxyDependencies sources, Vertx vertx, TimeSource time, EventLog events) {
        this.settings = settings;
        this.sources = sources;
        this.vertx = vertx;
        this.time = time;
        this.events = events;
        this.usageTime = new JumpTolerantTimeSource(time);
        this.control = vertx.getOrCreateContext();
        this.traffic = vertx.getOrCreateContext();
    }

    /**
     * Starts the process.
     *
     * @return The end of the start.
     */
    public Future<Void> start() {
        AtomicReference<Map<String, Work>> ownWork = new AtomicReference<>(Map.of());
        CrashTracker crashes = new CrashTracker();
        UsageCounter usage = new UsageCounter(settings.times().usageWindowMillis());
        Promise<Void> started = Promise.promise();
        control.runOnContext(run -> startControl(ownWork, crashes, usage)
                .onComplete(done -> traffic.runOnContext(next -> startTraffic(ownWork, crashes, usage)
                        .onSuccess(listening -> events.emit(new ProxyEvents.ProxyStarted(
                                settings.host(), settings.dataCentre(), Program.version())))
                        .onComplete(started))));
        return started.future();
    }

    /**
     * Tells whether this host takes requests.
     *
     * @return Whether it takes requests.
     */
    public boolean ready() {
        ConfigurationView view = state.configuration();
        return !state.draining()
                && state.backends().known()
                && view.isFresh(time.monotonicMillis(), time.wallMillis(), keyBoundMillis());
    }

    /**
     * Stops the process: it leaves the balancer, lets requests in progress end, and hands over its duties.
     *
     * @return The number of requests that were cut off.
     */
    public int stop() {
        long startMillis = time.monotonicMillis();
        state.startDraining(startMillis);
        events.emit(new ProxyEvents.ProxyDraining(state.active().get()));
        control.runOnContext(run -> election.leave());
        DrainWait wait = new DrainWait(startMillis, settings.times().graceMillis());
        while (!wait.isOver(time.monotonicMillis(), state.active().get())) {
            wait.pause();
        }
        control.runOnContext(run -> usageWriter.flush());
        wait.pause();
        int active = state.active().get();
        events.emit(new ProxyEvents.ProxyStopped(active, time.monotonicMillis() - startMillis));
        return active;
    }

    /**
     * Starts the controllers.
     *
     * @param ownWork The work of this host.
     * @param crashes The requests that crash backend servers.
     * @param usage The usage counts.
     * @return The end of the start.
     */
    private Future<Void> startControl(
            AtomicReference<Map<String, Work>> ownWork, CrashTracker crashes, UsageCounter usage) {
        ProxySettings.Times times = settings.times();
        ControllerContext context = new ControllerContext(vertx, time, sources.log(), state, events);
        String incarnation = Program.incarnation(settings.host(), time.wallMillis());
        HostNetwork network = HostNetwork.of(context, settings, sources.hostTopic());
        new ConfigurationFollower(
                        context,
                        network.relay(),
                        sources.configurationTopic(),
                        sources.configurationKey(),
                        sources.configurations(),
                        times.configurationMillis())
                .start();
        new BackendFollower(context, network.relay(), sources.backendTopic(), sources.backends(), times.leavingMillis())
                .start();
        election = new LeaderElection(context, network.relay(), incarnation, times.leaseMillis());
        election.start();
        ControllerContext usageContext = new ControllerContext(vertx, usageTime, sources.log(), state, events);
        usageWriter = new UsageCountWriter(usageContext, network, usage, incarnation);
        usageWriter.start();
        new UsageReportController(usageContext, election, sources.duties(), times.usageWindowMillis()).start();
        new FleetController(context, election, sources.duties(), ownWork).start();
        return new PeerReportExchange(context, settings, network, time.wallMillis(), crashes, placements, ownWork)
                .start();
    }

    /**
     * Starts to take requests.
     *
     * @param ownWork The work of this host.
     * @param crashes The requests that crash backend servers.
     * @param usage The usage counts.
     * @return The end of the start.
     */
    private Future<Void> startTraffic(
            AtomicReference<Map<String, Work>> ownWork, CrashTracker crashes, UsageCounter usage) {
        ProxySettings.Times times = settings.times();
        LoadTable loads = new LoadTable();
        PoolWaitQueues queues = new PoolWaitQueues();
        ExchangeMetrics metrics = new ExchangeMetrics(registry);
        HostMetrics hostMetrics = new HostMetrics(registry);
        ExchangeContext context = new ExchangeContext(
                vertx,
                time,
                state,
                new BackendClient(vertx),
                sources.codec(),
                new BackendChooser(settings.dataCentre(), loads, new SplittableRandom()),
                loads,
                placements,
                queues,
                new PoolRetryBudgets(times.retryWindowMillis(), times.retryRatio(), times.retryAllowance()),
                crashes,
                usage,
                usageTime,
                metrics,
                events);
        RequestAdmission gate = new RequestAdmission(keyBoundMillis(), times.configurationMillis());
        vertx.setPeriodic(ADVANCE_MILLIS, fired -> queues.dispatch(time.monotonicMillis()));
        vertx.setPeriodic(PUBLISH_MILLIS, fired -> {
            placements.applyTo(loads);
            ownWork.set(loads.work());
            loads.removeUnlisted(state.backends());
            publish(hostMetrics, queues.size());
        });
        return new IngressServer(vertx, new CallerHandler(context, gate))
                .listen(settings.front())
                .compose(listening ->
                        new StatusServer(vertx, settings.readyPath(), this::ready, registry).listen(settings.status()));
    }

    /**
     * Publishes what the host has in hand and believes as metrics.
     *
     * @param metrics The metrics.
     * @param waiting The requests that wait for room.
     */
    private void publish(HostMetrics metrics, int waiting) {
        ConfigurationView view = state.configuration();
        metrics.recordRequests(state.active().get(), waiting);
        metrics.recordState(
                view.configuration().map(known -> known.version()).orElse(-1L),
                view.loggedAgeMillis(time.monotonicMillis()),
                state.backends().all().size(),
                state.peers().hosts(),
                ready());
    }

    /**
     * Returns the age of the configuration up to which keys are honoured.
     *
     * @return The age in milliseconds.
     */
    private long keyBoundMillis() {
        return settings.times().keyWithdrawalMillis() - KEY_MARGIN_MILLIS;
    }
}
