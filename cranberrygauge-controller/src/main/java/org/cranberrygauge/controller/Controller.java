package org.cranberrygauge.controller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cranberrygauge.controller.cleaning.CleaningCoordinator;
import org.cranberrygauge.controller.gateway.GatewayLoadPoller;
import org.cranberrygauge.controller.membership.MembershipPruner;
import org.cranberrygauge.controller.order.OrderDispatcher;
import org.cranberrygauge.controller.usage.UsageReporter;
import org.cranberrygauge.decision.cleaning.CleaningPlanner;
import org.cranberrygauge.decision.fleet.DemandEstimator;
import org.cranberrygauge.decision.fleet.DemandEstimator.GatewayLoad;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.fleet.ForecastFleetPlanner;
import org.cranberrygauge.decision.lease.LeaderElector;
import org.cranberrygauge.decision.membership.GatewayFailureDetector;
import org.cranberrygauge.decision.snapshot.SnapshotSchedule;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.log.SnapshotWriter;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.state.ProcessState;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * One controller, put together.
 *
 * <p>Started once and stopped once; decisions run on the context of the log follower.
 */
public final class Controller {

    /** The time between two decisions in milliseconds. */
    private static final long TICK_MILLIS = 100;

    /** The time between two plans of the fleet in ticks. */
    private static final int TICKS_PER_PLAN = 10;

    /** The time between two questions to a gateway in ticks. */
    private static final int TICKS_PER_POLL = 10;

    /** The age after which the load of a gateway counts for nothing in milliseconds. */
    private static final long LOAD_AGE_MILLIS = 3_000;

    /** The longest time a planned stop waits for the log in milliseconds. */
    private static final long STOP_MILLIS = 1_000;

    /** The time after which a host that is neither listed nor heard is gone in milliseconds. */
    private static final long HOST_ABSENCE_MILLIS = 10_000;

    /** The purpose of a claim of the lease. */
    private static final String CLAIM = "lease-claim";

    /** The settings. */
    private final ControllerSettings settings;

    /** The event log. */
    private final EventLog events;

    /** The sources of time. */
    private final TimeSource time = TimeSource.System.INSTANCE;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The incarnation. */
    private final String incarnation;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The follower of the log. */
    private final LogFollower follower;

    /** The appender to the log. */
    private final LogAppender appender;

    /** Appends the records of control. */
    private final ControlAppender controlAppender;

    /** Asks gateways for their load. */
    private final GatewayLoadPoller poll;

    /** Decides whether this controller holds the lease. */
    private final LeaderElector lease;

    /** Sends orders. */
    private final OrderDispatcher orders;

    /** Reports usage. */
    private final UsageReporter usage;

    /** Carries out the cleaning. */
    private final CleaningCoordinator cleaning;

    /** Declares gateways gone. */
    private final MembershipPruner gone;

    /** Works out the demand. */
    private final DemandEstimator meter = new DemandEstimator();

    /** Writes snapshots. */
    private final SnapshotWriter snapshots;

    /** Whether the lease was held at the last tick. */
    private boolean held;

    /** The number of ticks so far. */
    private long ticks;

    /** Whether a planned stop began. */
    private volatile boolean stopping;

    /**
     * Creates a controller.
     *
     * @param settings The settings.
     * @param events The event log.
     */
    public Controller(ControllerSettings settings, EventLog events) {
        this.settings = settings;
        this.events = events;
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Program.reportUnhandled(vertx, events);
        incarnation = Program.incarnation(settings.hostName(), time.wallMillis());
        blackboard = new ProcessState(time.monotonicMillis());
        HttpPlatform platform = new HttpPlatform(vertx, settings.platformAddress(), settings.platformTimeoutMillis());
        follower = new LogFollower(vertx, platform, blackboard, time, events);
        appender = new LogAppender(vertx, platform, incarnation);
        controlAppender = new ControlAppender(appender, blackboard);
        poll = new GatewayLoadPoller(time);
        lease = new LeaderElector(incarnation, settings.hostName(), time.monotonicMillis());
        orders = new OrderDispatcher(
                incarnation,
                new ForecastFleetPlanner(settings.fleetParameters()),
                lease,
                blackboard,
                follower,
                controlAppender,
                platform,
                time,
                events);
        usage = new UsageReporter(incarnation, lease, follower, controlAppender, platform, time, events);
        gone = new MembershipPruner(
                new GatewayFailureDetector.Unlisted(HOST_ABSENCE_MILLIS),
                platform,
                follower,
                lease,
                controlAppender,
                time,
                events);
        cleaning =
                new CleaningCoordinator(new CleaningPlanner(settings.cleaningMillis()), lease, controlAppender, events);
        snapshots = new SnapshotWriter(
                incarnation,
                new SnapshotSchedule.Periodic(settings.snapshotIntervalMillis()),
                appender::append,
                events);
    }

    /**
     * Starts the controller.
     *
     * @return Completes when it listens.
     */
    public Future<HttpServer> start() {
        follower.addListener(orders::accept);
        follower.start();
        vertx.setPeriodic(TICK_MILLIS, timer -> follower.onContext(this::tick));
        return vertx.createHttpServer(new HttpServerOptions()
                        .setHost(settings.operationsAddress().host())
                        .setPort(settings.operationsAddress().port()))
                .requestHandler(this::answer)
                .listen()
                .onSuccess(server ->
                        events.emit(new ControllerEvents.ControllerListening(incarnation, server.actualPort())));
    }

    /** Stops the controller: sends no order any more, gives the lease back and ends. */
    public void stop() {
        stopping = true;
        Promise<Void> resigned = Promise.promise();
        follower.onContext(state -> lease.resign(time.monotonicMillis())
                .map(appender::append)
                .orElse(Future.succeededFuture())
                .<Void>mapEmpty()
                .onComplete(resigned));
        await(resigned.future());
        poll.stop();
        follower.stop();
        vertx.close();
    }

    /**
     * Waits for a future for a limited time.
     *
     * @param future The future.
     */
    private void await(Future<?> future) {
        try {
            future.toCompletionStage().toCompletableFuture().get(STOP_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            events.emit(new ControllerEvents.StopIncomplete(incarnation, String.valueOf(exception.getMessage())));
        }
    }

    /**
     * Decides and acts once.
     *
     * @param state The state machines.
     */
    private void tick(LogState state) {
        if (stopping || state.configuration().current().version() == 0) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        lease.observe(nowMillis, state.lease());
        if (controlAppender.isFree(CLAIM)) {
            lease.decide(
                            nowMillis,
                            state.configuration()
                                    .current()
                                    .configuration()
                                    .times()
                                    .leaseMillis())
                    .ifPresent(claim -> controlAppender.append(CLAIM, claim));
        }
        boolean holds = lease.holds(nowMillis);
        if (holds != held) {
            held = holds;
            events.emit(new ControllerEvents.LeaseChanged(
                    incarnation, held, state.lease().holder(), lease.fencingNumber()));
        }
        if (!holds) {
            return;
        }
        usage.tick(state);
        snapshots.tick(state);
        if (ticks % TICKS_PER_POLL == 0) {
            poll.ask(state.members().all());
        }
        if (ticks++ % TICKS_PER_PLAN == 0) {
            plan(nowMillis, state);
        }
    }

    /**
     * Plans the cleaning and the fleet.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param state The state machines.
     */
    private void plan(long nowMillis, LogState state) {
        Configuration configuration = state.configuration().current().configuration();
        List<BackendServer> servers = new ArrayList<>(configuration.backendServers());
        blackboard.listed().stream()
                .filter(listed -> listed.state() == HostState.LIVE)
                .map(ListedBackendServer::server)
                .forEach(servers::add);
        Map<String, GatewayLoad> loads = poll.loads(nowMillis, LOAD_AGE_MILLIS);
        gone.tick(state, loads);
        Map<String, Integer> reserve = cleaning.tick(time.wallMillis(), state, servers, loads);
        Map<String, ModelDemand> demand = meter.observe(configuration, servers, loads.values());
        orders.tick(state, demand, reserve);
    }

    /**
     * Answers a request of operations.
     *
     * @param request The request.
     */
    private void answer(HttpServerRequest request) {
        JsonObject body = new JsonObject()
                .put("controller", incarnation)
                .put("holds_lease", lease.holds(time.monotonicMillis()))
                .put("fencing_number", blackboard.log().lease().fencingNumber())
                .put("appends_waiting", appender.backlog())
                .put("log_offset", blackboard.position().offset());
        request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
    }
}
