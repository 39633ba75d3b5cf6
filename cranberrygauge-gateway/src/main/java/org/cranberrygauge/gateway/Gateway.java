package org.cranberrygauge.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.cranberrygauge.decision.configuration.ConfigurationState;
import org.cranberrygauge.decision.dispatch.DispatchPolicy;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.quarantine.Quarantine;
import org.cranberrygauge.decision.quarantine.QuarantineLimits;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.decision.retry.RetryBudgets;
import org.cranberrygauge.decision.routing.BackendTable.Ejection;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.decision.usage.UsageReplication;
import org.cranberrygauge.gateway.call.ActiveCalls;
import org.cranberrygauge.gateway.call.BackendClient;
import org.cranberrygauge.gateway.call.CallDependencies;
import org.cranberrygauge.gateway.call.CrashDetector;
import org.cranberrygauge.gateway.call.QuarantineEnforcer;
import org.cranberrygauge.gateway.exchange.ExchangeServer;
import org.cranberrygauge.gateway.exchange.ExchangeService;
import org.cranberrygauge.gateway.exchange.PeerExchange;
import org.cranberrygauge.gateway.http.AdmissionGate;
import org.cranberrygauge.gateway.http.CallerHandler;
import org.cranberrygauge.gateway.http.GatewayServers;
import org.cranberrygauge.gateway.http.IdleConnections;
import org.cranberrygauge.gateway.http.OperationsHandler;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationManager;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.gateway.usage.UsageShipper;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.event.EventRingBuffer;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * One gateway, put together.
 *
 * <p>Started once and stopped once, by one thread; its parts say themselves which threads use them.
 */
public final class Gateway {

    /** The time between two looks at queue and backend servers in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** The time between two reads of the platform's list, and two looks for idle connections, in milliseconds. */
    private static final long LIST_MILLIS = 500;

    /** The time between two looks at running requests during a planned stop in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    /** The share of successes that a customer may retry in a class. */
    private static final double RETRY_SHARE = 0.1;

    /** The age after which a peer is no longer in touch in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The number of retries that a customer can save in a class. */
    private static final int RETRY_BURST = 20;

    /** The number of newest events that are kept for operators. */
    private static final int KEPT_EVENTS = 4_096;

    /** The settings. */
    private final GatewaySettings settings;

    /** The event log. */
    private final EventLog events;

    /** The newest events. */
    private final EventRingBuffer ring;

    /** The sources of time. */
    private final TimeSource time = TimeSource.System.INSTANCE;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The incarnation. */
    private final String incarnation;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The client of the platform. */
    private final HttpPlatform platform;

    /** The follower of the log. */
    private final LogFollower follower;

    /** The appender to the log. */
    private final LogAppender appender;

    /** The backend servers. */
    private final BackendTableUpdater board;

    /** The scheduler. */
    private final Scheduler scheduler;

    /** The connections of callers. */
    private final IdleConnections callerConnections;

    /** The requests that wait or run. */
    private final ActiveCalls active = new ActiveCalls();

    /** The usage counter. */
    private final UsageCounter usage;

    /** Sends usage to the log. */
    private final UsageShipper shipper;

    /** Gives copies of usage to a peer and holds those of peers. */
    private final UsageReplicator usageCopies;

    /** Tells whether the gateway admits. */
    private final AdmissionGate gate;

    /** The registry of metrics. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** The quarantine. */
    private final Quarantine quarantine;

    /** What this gateway answers to its peers. */
    private ExchangeService service;

    /** The server of the exchange. */
    private ExchangeServer exchangeServer;

    /** The exchange with peers. */
    private PeerExchange peerExchange;

    /** The HTTP servers. */
    private final GatewayServers servers;

    /**
     * Creates a gateway.
     *
     * @param settings The settings.
     * @param events The event log.
     */
    public Gateway(GatewaySettings settings, EventLog events) {
        this(settings, events, new Quarantine.Default(QuarantineLimits.standard()));
    }

    /**
     * Creates a gateway with a quarantine of its own, which a measurement may switch off.
     *
     * @param settings The settings.
     * @param events The event log.
     * @param quarantine The quarantine.
     */
    public Gateway(GatewaySettings settings, EventLog events, Quarantine quarantine) {
        this.settings = settings;
        this.quarantine = quarantine;
        this.ring = new EventRingBuffer(KEPT_EVENTS, time::wallMillis);
        this.events = new EventLog.Compound(List.of(events, ring));
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(settings.eventLoops() + 1)
                .setWorkerPoolSize(1));
        Program.reportUnhandled(vertx, this.events);
        callerConnections = new IdleConnections(time, settings.callerIdleTimeoutMillis());
        servers = new GatewayServers(vertx, settings, callerConnections, this.events);
        incarnation = Program.incarnation(settings.hostName(), time.wallMillis());
        blackboard = new ProcessState(time.monotonicMillis());
        platform = new HttpPlatform(vertx, settings.platformAddress(), settings.platformTimeoutMillis());
        follower = new LogFollower(vertx, platform, blackboard, time, this.events);
        appender = new LogAppender(vertx, platform, incarnation);
        board = new BackendTableUpdater(blackboard, settings.hostName());
        scheduler = new Scheduler(DispatchPolicy.standard(), board, time, new Random(), this::onEjection);
        usage = new UsageCounter(incarnation);
        shipper = new UsageShipper(vertx, usage, appender);
        usageCopies = new UsageReplicator(
                usage,
                new UsageReplication.ToOnePeer(incarnation, usage, UsageReplicator.KEYS_PER_COPY),
                appender,
                time,
                this.events);
        gate = new AdmissionGate(
                blackboard, AdmissionFreshness.Default.INSTANCE, time, settings.hostName(), incarnation);
    }

    /**
     * Starts the gateway.
     *
     * @return Completes when it listens.
     */
    public Future<Void> start() {
        ReservationManager desk = new ReservationManager(
                vertx, appender::append, follower.state().reservations(), settings.reservationTimeoutMillis());
        follower.addListener(desk::accept);
        follower.addListener(this::onEffect);
        service = new ExchangeService(
                blackboard, follower, this::ownReport, usageCopies, time, quarantine, active::reconsider);
        try {
            exchangeServer = new ExchangeServer(settings.exchangeAddress(), service);
        } catch (CranberrygaugeException exception) {
            return Future.failedFuture(exception);
        }
        peerExchange = new PeerExchange(
                settings.peers(),
                settings.exchangeIntervalMillis(),
                service,
                this::ownReport,
                usageCopies,
                blackboard,
                follower,
                time);
        follower.start();
        join();
        startTimers();
        return listen(desk);
    }

    /**
     * Stops the gateway: admits nothing more, lets running requests end, sends usage to the log and leaves.
     *
     * @return The number of requests that were cut.
     */
    public int stop() {
        events.emit(new GatewayEvents.DrainBegan(incarnation, active.size()));
        gate.drain();
        long untilMillis = time.monotonicMillis() + settings.drainTimeoutMillis();
        boolean interrupted = false;
        while (active.size() > 0 && time.monotonicMillis() < untilMillis && !interrupted) {
            interrupted = !pause(DRAIN_POLL_MILLIS);
        }
        int cut = active.size();
        await(shipper.flush());
        await(appender.append(new LogRecord.GatewayLeft(incarnation, "planned_stop")));
        follower.stop();
        peerExchange.stop();
        exchangeServer.stop();
        await(vertx.close());
        events.emit(new GatewayEvents.DrainFinished(incarnation, cut));
        return cut;
    }

    /**
     * Returns the port for callers.
     *
     * @return The port.
     */
    public int callerPort() {
        return servers.callerPort();
    }

    /**
     * Returns the port for operations.
     *
     * @return The port.
     */
    public int operationsPort() {
        return servers.operationsPort();
    }

    /** Joins, also again after this gateway was declared gone or replaced; a second join has no effect. */
    private void join() {
        appender.append(new LogRecord.GatewayJoined(
                incarnation,
                settings.hostName(),
                settings.dataCentre(),
                settings.exchangeAddress().host() + ":" + exchangeServer.port()));
    }

    /** Joins again if this gateway is no member and nothing that it wrote is under way. */
    private void joinIfMissing() {
        boolean missing = !blackboard.log().members().contains(incarnation);
        if (missing && appender.backlog() == 0 && !gate.isDraining()) {
            join();
        }
    }

    /**
     * Returns the port for peers.
     *
     * @return The port.
     */
    public int exchangePort() {
        return exchangeServer.port();
    }

    /**
     * Adds a peer that was not known at the start.
     *
     * @param peer The address of its exchange.
     */
    public void addPeer(NetworkAddress peer) {
        peerExchange.add(peer);
    }

    /** Starts what is done again and again. */
    private void startTimers() {
        vertx.setPeriodic(LIST_MILLIS, timer -> joinIfMissing());
        vertx.setPeriodic(TICK_MILLIS, timer -> scheduler.tick());
        vertx.setPeriodic(LIST_MILLIS, timer -> callerConnections.closeIdle());
        vertx.setPeriodic(LIST_MILLIS, timer -> platform.backendServers().thenAccept(blackboard::publish));
        vertx.setPeriodic(settings.usageIntervalMillis(), timer -> {
            shipper.ship();
            follower.onContext(usageCopies::appendDue);
        });
    }

    /**
     * Starts to listen to callers and operations.
     *
     * @param desk The desk for reservations.
     * @return Completes when it listens.
     */
    private Future<Void> listen(ReservationManager desk) {
        CallDependencies tools = new CallDependencies(
                scheduler,
                board,
                new BackendClient(vertx, settings.backendCredential(), settings.backendTimeoutMillis()),
                desk,
                new RetryBudgets.PerCustomer(() -> new RetryBudget.Share(RETRY_SHARE, RETRY_BURST)),
                new QuarantineEnforcer(
                        vertx,
                        quarantine,
                        new CrashDetector(vertx, board, time),
                        time,
                        this::tellPeers,
                        incarnation,
                        this::gatewaysInTouch),
                usage,
                new GatewayMetrics(registry),
                events,
                active,
                time,
                incarnation);
        CallerHandler callers = new CallerHandler(vertx, settings, tools, blackboard, gate, callerConnections);
        OperationsHandler operations =
                new OperationsHandler(registry, gate, blackboard, ring, usageCopies, incarnation);
        return servers.listen(callers, operations)
                .onSuccess(done -> events.emit(new GatewayEvents.GatewayListening(
                        incarnation, callerPort(), operationsPort(), exchangeServer.port())));
    }

    /**
     * Acts on what became of a record.
     *
     * @param effect The effect.
     */
    private void onEffect(ApplyResult effect) {
        if (effect instanceof ApplyResult.ChangeResult judged
                && judged.verdict() == ConfigurationState.Verdict.ACCEPTED) {
            scheduler.configure(blackboard.configuration().classes());
            active.endWithdrawn(blackboard.log().keys());
        }
    }

    /**
     * Records that a backend server was ejected or readmitted.
     *
     * @param ejection The change.
     */
    private void onEjection(Ejection ejection) {
        events.emit(new GatewayEvents.BackendSpeedJudged(
                ejection.server(), ejection.ejected() ? "ejected" : "readmitted", ejection.slowness()));
    }

    /**
     * Builds the report for peers.
     *
     * @return The report.
     */
    private GatewayReport ownReport() {
        GatewayReport report = new GatewayReport(
                incarnation,
                settings.hostName(),
                blackboard.log().configuration().current().version(),
                blackboard.position().offset(),
                time.monotonicMillis() - blackboard.position().endReadAtMillis(),
                scheduler.inFlight(),
                scheduler.waiting(),
                gate.isDraining());
        return report.setQuarantined(service.suspects());
    }

    /**
     * Lists the gateways that are in touch.
     *
     * @return The incarnations, this one included.
     */
    private List<String> gatewaysInTouch() {
        long fromMillis = time.monotonicMillis() - PEER_EXPIRY_MILLIS;
        return Stream.concat(
                        Stream.of(incarnation),
                        blackboard.peers().values().stream()
                                .filter(peer -> peer.heardAtMillis() >= fromMillis)
                                .map(PeerReport::gateway))
                .toList();
    }

    /** Tells the peers at once what this gateway knows of suspected requests. */
    private void tellPeers() {
        peerExchange.exchangeNow();
    }

    /**
     * Waits for a future for a limited time.
     *
     * @param future The future.
     */
    private void await(Future<?> future) {
        long untilMillis = time.monotonicMillis() + settings.platformTimeoutMillis();
        while (!future.isComplete() && time.monotonicMillis() < untilMillis) {
            if (!pause(DRAIN_POLL_MILLIS)) {
                return;
            }
        }
    }

    /**
     * Pauses this thread.
     *
     * @param millis The time in milliseconds.
     * @return Whether the pause was not interrupted.
     */
    private static boolean pause(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
