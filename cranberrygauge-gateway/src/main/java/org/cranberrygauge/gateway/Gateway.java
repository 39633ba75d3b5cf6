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
import org.cranberrygauge.decision.stop.PlannedStop;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.decision.usage.UsageReplication;
import org.cranberrygauge.gateway.call.ActiveCalls;
import org.cranberrygauge.gateway.call.BackendClient;
import org.cranberrygauge.gateway.call.CallDependencies;
import org.cranberrygauge.gateway.call.CrashDetector;
import org.cranberrygauge.gateway.call.QuarantineEnforcer;
import org.cranberrygauge.gateway.call.ResponseMemory;
import org.cranberrygauge.gateway.exchange.ExchangeServer;
import org.cranberrygauge.gateway.exchange.ExchangeService;
import org.cranberrygauge.gateway.exchange.PeerExchange;
import org.cranberrygauge.gateway.http.AdmissionGate;
import org.cranberrygauge.gateway.http.CallerHandler;
import org.cranberrygauge.gateway.http.GatewayServers;
import org.cranberrygauge.gateway.http.OperationsHandler;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationManager;
import org.cranberrygauge.gateway.schedule.BackendTableUpdater;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.gateway.usage.UsageAppender;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.event.EventRingBuffer;
import org.cranberrygauge.runtime.http.ConnectionMetrics;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * A gateway with all its components.
 *
 * <p>Started once and stopped once, by one thread; the components document which threads may use them.
 */
public final class Gateway {

    /** The interval of scheduler ticks in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /**
     * The interval at which the platform's list of backend servers is read, and at which this gateway's
     * membership is checked, in milliseconds.
     */
    private static final long REFRESH_MILLIS = 500;

    /** The interval at which running requests are polled during a planned stop in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    /** The number of retries granted to a customer in a class per successful request. */
    private static final double RETRY_SHARE = 0.1;

    /** The age of its last report at which a peer is no longer considered reachable in milliseconds. */
    private static final long PEER_EXPIRY_MILLIS = 2_000;

    /** The largest number of unused retries that a customer can accumulate in a class. */
    private static final int RETRY_BURST = 20;

    /** The number of most recent events that are kept in memory for operators. */
    private static final int RECENT_EVENT_LIMIT = 4_096;

    private final GatewaySettings settings;

    private final EventLog events;

    private final EventRingBuffer recentEvents;

    private final TimeSource time = TimeSource.System.INSTANCE;

    private final Vertx vertx;

    private final String incarnation;

    private final Blackboard blackboard;

    private final HttpPlatform platform;

    private final LogFollower follower;

    private final LogAppender appender;

    private final BackendTableUpdater backends;

    private final Scheduler scheduler;

    private final ActiveCalls activeCalls = new ActiveCalls();

    private final UsageCounter usage;

    private final UsageAppender usageAppender;

    private final UsageReplicator usageReplicator;

    private final AdmissionGate gate;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Quarantine quarantine;

    private ExchangeService service;

    private ExchangeServer exchangeServer;

    private PeerExchange peerExchange;

    private CallerHandler callers;

    private final GatewayServers servers;

    /** Creates a gateway with the standard quarantine limits. */
    public Gateway(GatewaySettings settings, EventLog events) {
        this(settings, events, new Quarantine.Default(QuarantineLimits.standard()));
    }

    /** Creates a gateway with the given quarantine, which benchmarks may disable. */
    public Gateway(GatewaySettings settings, EventLog events, Quarantine quarantine) {
        this.settings = settings;
        this.quarantine = quarantine;
        this.recentEvents = new EventRingBuffer(RECENT_EVENT_LIMIT, time::wallMillis);
        this.events = new EventLog.Compound(List.of(events, recentEvents));
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(settings.eventLoops() + 1)
                .setWorkerPoolSize(1));
        Program.reportUnhandled(vertx, this.events);
        servers = new GatewayServers(vertx, settings, new ConnectionMetrics(registry), time, this.events);
        incarnation = Program.incarnation(settings.hostName(), time.wallMillis());
        blackboard = new Blackboard(time.monotonicMillis());
        platform = new HttpPlatform(vertx, settings.platformAddress(), settings.platformTimeoutMillis());
        follower = new LogFollower(vertx, platform, blackboard, time, this.events);
        appender = new LogAppender(vertx, platform, incarnation);
        backends = new BackendTableUpdater(blackboard, settings.hostName());
        scheduler = new Scheduler(DispatchPolicy.standard(), backends, time, new Random(), this::onEjection);
        usage = new UsageCounter(incarnation);
        usageAppender = new UsageAppender(vertx, usage, appender);
        usageReplicator = new UsageReplicator(
                usage,
                new UsageReplication.ToOnePeer(incarnation, usage, UsageReplicator.KEYS_PER_COPY),
                appender,
                time,
                this.events);
        gate = new AdmissionGate(
                blackboard, AdmissionFreshness.Default.INSTANCE, time, settings.hostName(), incarnation);
    }

    /** Starts the gateway and completes once it is listening. */
    public Future<Void> start() {
        ReservationManager reservations = new ReservationManager(
                vertx, appender::append, follower.state().reservations(), settings.reservationTimeoutMillis());
        follower.addListener(reservations::accept);
        follower.addListener(this::onApplyResult);
        service = new ExchangeService(
                blackboard, follower, this::ownReport, usageReplicator, time, quarantine, activeCalls::recheckQueued);
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
                usageReplicator,
                blackboard,
                follower,
                time);
        follower.start();
        join();
        startTimers();
        return listen(reservations);
    }

    /**
     * Stops the gateway: rejects new requests, lets queued ones begin within half of the drain timeout and running ones
     * finish within all of it, answers those that are left, flushes usage to the log, leaves the membership and closes the
     * connections.
     *
     * @return The number of requests that were aborted.
     */
    public int stop() {
        events.emit(new GatewayEvents.DrainBegan(incarnation, activeCalls.size()));
        long startMillis = time.monotonicMillis();
        long untilMillis = startMillis + settings.drainTimeoutMillis();
        gate.drain(new PlannedStop(startMillis + settings.drainTimeoutMillis() / 2, untilMillis));
        boolean interrupted = false;
        while (unfinished() > 0 && time.monotonicMillis() < untilMillis && !interrupted) {
            activeCalls.recheckQueued();
            interrupted = !pause(DRAIN_POLL_MILLIS);
        }
        int aborted = unfinished();
        gate.drain(PlannedStop.OVER);
        activeCalls.endAll();
        callers.endReading();
        pause(DRAIN_POLL_MILLIS);
        await(usageAppender.flush());
        await(appender.append(new LogRecord.GatewayLeft(incarnation, "planned_stop")));
        follower.stop();
        peerExchange.stop();
        exchangeServer.stop();
        servers.closeCallerConnections();
        pause(DRAIN_POLL_MILLIS);
        Program.close(vertx);
        events.emit(new GatewayEvents.DrainFinished(incarnation, aborted));
        return aborted;
    }

    /** Returns the number of requests that are being read or have no complete response. */
    private int unfinished() {
        return activeCalls.size() + callers.reading();
    }

    /** Returns the port that was bound for callers. */
    public int callerPort() {
        return servers.callerPort();
    }

    /** Returns the port that was bound for operations. */
    public int operationsPort() {
        return servers.operationsPort();
    }

    /**
     * Joins the membership, possibly again after this gateway was declared gone or replaced. Joining twice has no
     * effect.
     */
    private void join() {
        appender.append(new LogRecord.GatewayJoined(
                incarnation,
                settings.hostName(),
                settings.dataCentre(),
                settings.exchangeAddress().host() + ":" + exchangeServer.port()));
    }

    /** Joins again if this gateway is not a member and none of its records is pending. */
    private void joinIfMissing() {
        boolean missing = !blackboard.log().members().contains(incarnation);
        if (missing && appender.backlog() == 0 && !gate.isDraining()) {
            join();
        }
    }

    /** Returns the port for peers. */
    public int exchangePort() {
        return exchangeServer.port();
    }

    /** Adds a peer that was not known at start, given by the address of its exchange server. */
    public void addPeer(NetworkAddress peer) {
        peerExchange.add(peer);
    }

    private void startTimers() {
        vertx.setPeriodic(REFRESH_MILLIS, timer -> joinIfMissing());
        vertx.setPeriodic(TICK_MILLIS, timer -> scheduler.tick());
        vertx.setPeriodic(REFRESH_MILLIS, timer -> platform.backendServers().thenAccept(blackboard::publish));
        vertx.setPeriodic(settings.usageIntervalMillis(), timer -> {
            usageAppender.appendIfDue();
            follower.onContext(usageReplicator::appendDue);
        });
    }

    private Future<Void> listen(ReservationManager reservations) {
        CallDependencies dependencies = new CallDependencies(
                scheduler,
                backends,
                new BackendClient(vertx, settings.backendCredential(), settings.backendTimeoutMillis(), events),
                new ResponseMemory(ResponseMemory.defaultBytes(Runtime.getRuntime())),
                reservations,
                new RetryBudgets.PerCustomer(() -> new RetryBudget.Share(RETRY_SHARE, RETRY_BURST)),
                new QuarantineEnforcer(
                        vertx,
                        quarantine,
                        new CrashDetector(vertx, backends, time),
                        time,
                        this::notifyPeers,
                        incarnation,
                        this::reachableGateways),
                usage,
                new GatewayMetrics(registry),
                events,
                activeCalls,
                time,
                gate::stop,
                incarnation);
        callers = new CallerHandler(vertx, settings, dependencies, blackboard, gate);
        OperationsHandler operations =
                new OperationsHandler(registry, gate, blackboard, recentEvents, usageReplicator, incarnation);
        return servers.listen(callers, operations)
                .onSuccess(done -> events.emit(new GatewayEvents.GatewayListening(
                        incarnation, callerPort(), operationsPort(), exchangeServer.port())));
    }

    private void onApplyResult(ApplyResult result) {
        if (result instanceof ApplyResult.ChangeResult change
                && change.verdict() == ConfigurationState.Verdict.ACCEPTED) {
            scheduler.configure(blackboard.configuration().classes());
            activeCalls.abortWithdrawn(blackboard.log().keys());
        }
    }

    private void onEjection(Ejection ejection) {
        events.emit(new GatewayEvents.BackendSpeedJudged(
                ejection.server(), ejection.ejected() ? "ejected" : "readmitted", ejection.slowness()));
    }

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
        return report.setQuarantined(service.suspectObservations());
    }

    /** Returns the incarnations of the reachable gateways, including this one. */
    private List<String> reachableGateways() {
        long fromMillis = time.monotonicMillis() - PEER_EXPIRY_MILLIS;
        return Stream.concat(
                        Stream.of(incarnation),
                        blackboard.peers().values().stream()
                                .filter(peer -> peer.receivedAtMillis() >= fromMillis)
                                .map(PeerReport::gateway))
                .toList();
    }

    private void notifyPeers() {
        peerExchange.exchangeNow();
    }

    /** Waits for a future for at most the timeout of the platform. */
    private void await(Future<?> future) {
        long untilMillis = time.monotonicMillis() + settings.platformTimeoutMillis();
        while (!future.isComplete() && time.monotonicMillis() < untilMillis) {
            if (!pause(DRAIN_POLL_MILLIS)) {
                return;
            }
        }
    }

    /** Sleeps, and returns false if interrupted. */
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
