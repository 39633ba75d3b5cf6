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
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.lifecycle.Program;
import org.cranberrygauge.runtime.log.LogAppender;
import org.cranberrygauge.runtime.log.LogFollower;
import org.cranberrygauge.runtime.log.SnapshotWriter;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * A controller process. While it holds the lease, it orders backend servers, carries out cleaning, removes gateways
 * whose hosts are gone and reports usage.
 *
 * <p>Started once and stopped once. Decisions run on the context of the log follower.
 */
public final class Controller {

    private static final long TICK_MILLIS = 100;

    private static final int TICKS_PER_PLAN = 10;

    private static final int TICKS_PER_POLL = 10;

    /** Older gateway loads are ignored. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** Limits how long a planned stop waits for the lease release to be appended. */
    private static final long STOP_TIMEOUT_MILLIS = 1_000;

    /** A host that has been neither listed by the platform nor heard from for this long is gone. */
    private static final long HOST_ABSENCE_TIMEOUT_MILLIS = 10_000;

    private static final String LEASE_CLAIM_KEY = "lease-claim";

    private final ControllerSettings settings;

    private final EventLog events;

    private final TimeSource time = TimeSource.System.INSTANCE;

    private final Vertx vertx;

    private final String incarnation;

    private final Blackboard blackboard;

    private final LogFollower follower;

    private final LogAppender appender;

    private final ControlAppender controlAppender;

    private final GatewayLoadPoller gatewayLoadPoller;

    private final LeaderElector leaderElector;

    private final OrderDispatcher orderDispatcher;

    private final UsageReporter usageReporter;

    private final CleaningCoordinator cleaningCoordinator;

    private final MembershipPruner membershipPruner;

    private final DemandEstimator demandEstimator = new DemandEstimator();

    private final SnapshotWriter snapshotWriter;

    /** Whether the lease was held at the last tick; used to report changes only. */
    private boolean leaseHeld;

    private long ticks;

    private volatile boolean stopping;

    public Controller(ControllerSettings settings, EventLog events) {
        this.settings = settings;
        this.events = events;
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        Program.reportUnhandled(vertx, events);
        incarnation = Program.incarnation(settings.hostName(), time.wallMillis());
        blackboard = new Blackboard(time.monotonicMillis());
        HttpPlatform platform = new HttpPlatform(vertx, settings.platformAddress(), settings.platformTimeoutMillis());
        follower = new LogFollower(vertx, platform, blackboard, time, events);
        appender = new LogAppender(vertx, platform, incarnation);
        controlAppender = new ControlAppender(appender, blackboard);
        gatewayLoadPoller = new GatewayLoadPoller(time);
        leaderElector = new LeaderElector(incarnation, settings.hostName(), time.monotonicMillis());
        orderDispatcher = new OrderDispatcher(
                incarnation,
                new ForecastFleetPlanner(settings.fleetParameters()),
                leaderElector,
                blackboard,
                follower,
                controlAppender,
                platform,
                time,
                events);
        usageReporter =
                new UsageReporter(incarnation, leaderElector, follower, controlAppender, platform, time, events);
        membershipPruner = new MembershipPruner(
                new GatewayFailureDetector.Unlisted(HOST_ABSENCE_TIMEOUT_MILLIS),
                platform,
                follower,
                leaderElector,
                controlAppender,
                time,
                events);
        cleaningCoordinator = new CleaningCoordinator(
                new CleaningPlanner(settings.cleaningMillis()), leaderElector, controlAppender, events);
        snapshotWriter = new SnapshotWriter(
                incarnation,
                new SnapshotSchedule.Periodic(settings.snapshotIntervalMillis()),
                appender::append,
                events);
    }

    /**
     * Starts the controller.
     *
     * @return Completes when the operations server listens.
     */
    public Future<HttpServer> start() {
        follower.addListener(orderDispatcher::accept);
        follower.start();
        vertx.setPeriodic(TICK_MILLIS, timer -> follower.onContext(this::tick));
        return vertx.createHttpServer(new HttpServerOptions()
                        .setHost(settings.operationsAddress().host())
                        .setPort(settings.operationsAddress().port()))
                .requestHandler(this::respondWithState)
                .listen()
                .onSuccess(server ->
                        events.emit(new ControllerEvents.ControllerListening(incarnation, server.actualPort())));
    }

    /** Stops the controller: sends no further orders, releases the lease and closes all connections. */
    public void stop() {
        stopping = true;
        Promise<Void> resigned = Promise.promise();
        follower.onContext(state -> leaderElector
                .resign(time.monotonicMillis())
                .map(appender::append)
                .orElse(Future.succeededFuture())
                .<Void>mapEmpty()
                .onComplete(resigned));
        await(resigned.future());
        gatewayLoadPoller.stop();
        follower.stop();
        Program.close(vertx);
    }

    /** Waits for a future for at most {@link #STOP_TIMEOUT_MILLIS}; reports an event if it fails or times out. */
    private void await(Future<?> future) {
        try {
            future.toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            events.emit(new ControllerEvents.StopIncomplete(incarnation, String.valueOf(exception.getMessage())));
        }
    }

    /** Renews the lease and, while it is held, does what is due. Does nothing before the first configuration. */
    private void tick(LogState state) {
        if (stopping || state.configuration().current().version() == 0) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        leaderElector.observe(nowMillis, state.lease());
        if (controlAppender.isFree(LEASE_CLAIM_KEY)) {
            leaderElector
                    .decide(
                            nowMillis,
                            state.configuration()
                                    .current()
                                    .configuration()
                                    .times()
                                    .leaseMillis())
                    .ifPresent(claim -> controlAppender.append(LEASE_CLAIM_KEY, claim));
        }
        boolean holds = leaderElector.holds(nowMillis);
        if (holds != leaseHeld) {
            leaseHeld = holds;
            events.emit(new ControllerEvents.LeaseChanged(
                    incarnation, leaseHeld, state.lease().holder(), leaderElector.fencingNumber()));
        }
        if (!holds) {
            return;
        }
        usageReporter.tick(state);
        snapshotWriter.tick(state);
        if (ticks % TICKS_PER_POLL == 0) {
            gatewayLoadPoller.poll(state.members().all());
        }
        if (ticks++ % TICKS_PER_PLAN == 0) {
            plan(nowMillis, state);
        }
    }

    private void plan(long nowMillis, LogState state) {
        Configuration configuration = state.configuration().current().configuration();
        List<BackendServer> servers = new ArrayList<>(configuration.backendServers());
        blackboard.listedBackendServers().stream()
                .filter(listed -> listed.state() == HostState.LIVE)
                .map(ListedBackendServer::server)
                .forEach(servers::add);
        Map<String, GatewayLoad> loads = gatewayLoadPoller.recent(nowMillis, MAX_LOAD_AGE_MILLIS);
        membershipPruner.tick(state, loads);
        Map<String, Integer> reserve = cleaningCoordinator.tick(time.wallMillis(), state, servers, loads);
        Map<String, ModelDemand> demand = demandEstimator.observe(configuration, servers, loads.values());
        orderDispatcher.tick(state, demand, reserve);
    }

    private void respondWithState(HttpServerRequest request) {
        JsonObject body = new JsonObject()
                .put("controller", incarnation)
                .put("holds_lease", leaderElector.holds(time.monotonicMillis()))
                .put("fencing_number", blackboard.log().lease().fencingNumber())
                .put("appends_waiting", appender.backlog())
                .put("log_offset", blackboard.position().offset());
        request.response().putHeader("Content-Type", "application/json").end(body.toBuffer());
    }
}
