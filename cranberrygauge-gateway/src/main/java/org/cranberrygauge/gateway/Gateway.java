package org.cranberrygauge.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.admission.TieredAdmissionQueue;
import org.cranberrygauge.decision.configuration.ConfigurationMachine;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.retry.RetryBudget;
import org.cranberrygauge.decision.routing.RoutingPolicy;
import org.cranberrygauge.decision.state.Effect;
import org.cranberrygauge.decision.usage.UsageCounter;
import org.cranberrygauge.decision.usage.UsageReplication;
import org.cranberrygauge.gateway.call.ActiveCalls;
import org.cranberrygauge.gateway.call.BackendClient;
import org.cranberrygauge.gateway.call.CallTools;
import org.cranberrygauge.gateway.exchange.ExchangeServer;
import org.cranberrygauge.gateway.exchange.ExchangeService;
import org.cranberrygauge.gateway.exchange.PeerExchange;
import org.cranberrygauge.gateway.http.AdmissionGate;
import org.cranberrygauge.gateway.http.CallerHandler;
import org.cranberrygauge.gateway.http.OperationsHandler;
import org.cranberrygauge.gateway.metrics.GatewayMetrics;
import org.cranberrygauge.gateway.reservation.ReservationDesk;
import org.cranberrygauge.gateway.schedule.BackendBoard;
import org.cranberrygauge.gateway.schedule.Scheduler;
import org.cranberrygauge.gateway.usage.UsageCopyDesk;
import org.cranberrygauge.gateway.usage.UsageShipper;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.generated.GatewayReport;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * One gateway, put together.
 *
 * <p>Started once and stopped once, by one thread; its parts say themselves which threads use them.
 */
public final class Gateway {

    /** The time between two looks at queue and backend servers in milliseconds. */
    private static final long TICK_MILLIS = 20;

    /** The time between two reads of the platform's list in milliseconds. */
    private static final long LIST_MILLIS = 500;

    /** The time between two looks at running requests during a planned stop in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    /** The share of successes that may be retried. */
    private static final double RETRY_SHARE = 0.1;

    /** The number of retries that can be saved. */
    private static final int RETRY_BURST = 20;

    /** The settings. */
    private final GatewaySettings settings;

    /** The event log. */
    private final EventLog events;

    /** The sources of time. */
    private final TimeSource time = TimeSource.System.INSTANCE;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The incarnation. */
    private final String incarnation;

    /** The blackboard. */
    private final Blackboard blackboard;

    /** The client of the platform. */
    private final HttpPlatform platform;

    /** The follower of the log. */
    private final LogFollower follower;

    /** The appender to the log. */
    private final LogAppender appender;

    /** The backend servers. */
    private final BackendBoard board;

    /** The scheduler. */
    private final Scheduler scheduler;

    /** The requests that wait or run. */
    private final ActiveCalls active = new ActiveCalls();

    /** The usage counter. */
    private final UsageCounter usage;

    /** Sends usage to the log. */
    private final UsageShipper shipper;

    /** Gives copies of usage to a peer and holds those of peers. */
    private final UsageCopyDesk usageCopies;

    /** Tells whether the gateway admits. */
    private final AdmissionGate gate;

    /** The registry of metrics. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** The server of the exchange. */
    private ExchangeServer exchangeServer;

    /** The exchange with peers. */
    private PeerExchange peerExchange;

    /** The server of callers. */
    private HttpServer callerServer;

    /** The server of operations. */
    private HttpServer operationsServer;

    /**
     * Creates a gateway.
     *
     * @param settings The settings.
     * @param events The event log.
     */
    public Gateway(GatewaySettings settings, EventLog events) {
        this.settings = settings;
        this.events = events;
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(settings.eventLoops() + 1)
                .setWorkerPoolSize(1));
        incarnation = Program.incarnation(settings.hostName(), time.wallMillis());
        blackboard = new Blackboard(time.monotonicMillis());
        platform = new HttpPlatform(vertx, settings.platformAddress(), settings.platformTimeoutMillis());
        follower = new LogFollower(vertx, platform, blackboard, time, events);
        appender = new LogAppender(vertx, platform, incarnation);
        board = new BackendBoard(blackboard);
        scheduler = new Scheduler(
                new TieredAdmissionQueue(), RoutingPolicy.LeastInFlight.INSTANCE, board, time, new Random());
        usage = new UsageCounter(incarnation);
        shipper = new UsageShipper(vertx, usage, appender);
        usageCopies = new UsageCopyDesk(
                usage,
                new UsageReplication.ToOnePeer(incarnation, usage, UsageCopyDesk.KEYS_PER_COPY),
                appender,
                time,
                events);
        gate = new AdmissionGate(
                blackboard, AdmissionFreshness.Default.INSTANCE, time, settings.hostName(), incarnation);
    }

    /**
     * Starts the gateway.
     *
     * @return Completes when it listens.
     */
    public Future<Void> start() {
        ReservationDesk desk = new ReservationDesk(
                vertx, appender, follower.state().reservations(), settings.reservationTimeoutMillis());
        follower.addListener(desk::accept);
        follower.addListener(this::onEffect);
        ExchangeService service = new ExchangeService(blackboard, follower, this::ownReport, usageCopies, time);
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
        return callerServer.actualPort();
    }

    /**
     * Returns the port for operations.
     *
     * @return The port.
     */
    public int operationsPort() {
        return operationsServer.actualPort();
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

    /** Starts what is done again and again. */
    private void startTimers() {
        vertx.setPeriodic(LIST_MILLIS, timer -> joinIfMissing());
        vertx.setPeriodic(TICK_MILLIS, timer -> {
            board.refresh(time.monotonicMillis());
            scheduler.tick();
        });
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
    private Future<Void> listen(ReservationDesk desk) {
        CallTools tools = new CallTools(
                scheduler,
                board,
                new BackendClient(vertx, settings.backendCredential(), settings.backendTimeoutMillis()),
                desk,
                new RetryBudget.Share(RETRY_SHARE, RETRY_BURST),
                usage,
                new GatewayMetrics(registry),
                events,
                active,
                time,
                incarnation);
        CallerHandler callers = new CallerHandler(vertx, settings, tools, blackboard, gate);
        OperationsHandler operations = new OperationsHandler(registry, gate, blackboard, usageCopies, incarnation);
        return server(settings.operationsAddress())
                .requestHandler(operations)
                .listen()
                .compose(listening -> {
                    operationsServer = listening;
                    return server(settings.listenAddress())
                            .requestHandler(callers)
                            .listen();
                })
                .compose(listening -> {
                    callerServer = listening;
                    return moreCallerServers(callers);
                })
                .onSuccess(done -> events.emit(new GatewayEvents.GatewayListening(
                        incarnation, callerPort(), operationsPort(), exchangeServer.port())));
    }

    /**
     * Lets the other event loops listen to callers too.
     *
     * @param callers The handler.
     * @return Completes when they listen.
     */
    private Future<Void> moreCallerServers(CallerHandler callers) {
        NetworkAddress address = new NetworkAddress(settings.listenAddress().host(), callerPort());
        Future<Void> all = Future.succeededFuture();
        for (int loop = 1; loop < settings.eventLoops(); loop++) {
            all = all.compose(done -> vertx.deployVerticle(new CallerVerticle(options(address), callers))
                    .mapEmpty());
        }
        return all;
    }

    /**
     * Creates a server.
     *
     * @param address The address.
     * @return The server.
     */
    private HttpServer server(NetworkAddress address) {
        return vertx.createHttpServer(options(address));
    }

    /**
     * Builds the options of a server.
     *
     * @param address The address.
     * @return The options.
     */
    private HttpServerOptions options(NetworkAddress address) {
        return new HttpServerOptions()
                .setHost(address.host())
                .setPort(address.port())
                .setMaxHeaderSize(settings.headerLimitBytes())
                .setIdleTimeout((int) TimeUnit.MILLISECONDS.toSeconds(settings.backendTimeoutMillis()) * 2);
    }

    /**
     * Acts on what became of a record.
     *
     * @param effect The effect.
     */
    private void onEffect(Effect effect) {
        if (effect instanceof Effect.ChangeJudged judged && judged.verdict() == ConfigurationMachine.Verdict.ACCEPTED) {
            scheduler.configure(blackboard.configuration().classes());
            board.refresh(time.monotonicMillis());
            active.endWithdrawn(blackboard.log().keys());
        }
    }

    /**
     * Builds the report for peers.
     *
     * @return The report.
     */
    private GatewayReport ownReport() {
        return new GatewayReport(
                incarnation,
                settings.hostName(),
                blackboard.log().configuration().current().version(),
                blackboard.position().offset(),
                time.monotonicMillis() - blackboard.position().endReadAtMillis(),
                board.inFlight(),
                scheduler.waiting(blackboard.configuration().classes()),
                gate.isDraining());
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
