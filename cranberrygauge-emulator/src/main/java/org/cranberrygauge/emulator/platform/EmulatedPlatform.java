package org.cranberrygauge.emulator.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cranberrygauge.emulator.web.EmulatorHttpServer;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.protocol.platform.PlatformLog;
import org.cranberrygauge.protocol.platform.PlatformMessages;

/**
 * Emulates the platform: its log, its backend servers and its usage reports.
 *
 * <p>All requests are handled on one event loop.
 */
public final class EmulatedPlatform {

    private static final int UNAVAILABLE = 503;

    private static final int BAD_REQUEST = 400;

    /** Prefix of the name of a fault, followed by the data centre to evict. */
    private static final String EVICT_PREFIX = "EVICT:";

    /** Prefix of the name of a fault, followed by the backend server to mark as leaving. */
    private static final String LEAVING_PREFIX = "LEAVING:";

    /** Interval at which a waiting read checks for new entries. */
    private static final long POLL_INTERVAL_MILLIS = 5;

    private final Vertx vertx;

    private final LogStore log;

    private final WeightStore weights;

    private final FleetStore fleet;

    private PlatformMessages.EntryHostList entryHosts = new PlatformMessages.EntryHostList(List.of());

    private final List<UsageReport> reports = new ArrayList<>();

    private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);

    /** The list of backend servers, refreshed only periodically so that it lags. */
    private List<ListedBackendServer> laggingList = List.of();

    public EmulatedPlatform(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.log = new LogStore(options.retentionMillis());
        this.weights = new WeightStore(options.weightMillis());
        this.fleet = new FleetStore(options.checksFencing(), options.startMillis(), weights);
        vertx.setPeriodic(options.listLagMillis(), timer -> laggingList = fleet.list(System.currentTimeMillis()));
    }

    /** Starts the HTTP server. */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.post(PlatformMessages.APPEND_PATH).handler(this::append);
        router.get(PlatformMessages.RECORDS_PATH).handler(this::read);
        router.get(PlatformMessages.BACKEND_SERVERS_PATH).handler(this::list);
        router.post(PlatformMessages.BACKEND_SERVERS_PATH).handler(this::register);
        router.get(PlatformMessages.ENTRY_HOSTS_PATH).handler(this::listEntryHosts);
        router.post(PlatformMessages.ENTRY_HOSTS_PATH).handler(this::setEntryHosts);
        router.post(PlatformMessages.ORDERS_PATH).handler(this::order);
        router.get(PlatformMessages.ORDERS_PATH)
                .handler(context -> EmulatorHttpServer.respond(context, fleet.orders()));
        router.post(PlatformMessages.USAGE_PATH).handler(this::report);
        router.get(PlatformMessages.USAGE_PATH).handler(context -> EmulatorHttpServer.respond(context, reports));
        router.get("/weights/:model").handler(this::respondWithWeights);
        router.post("/faults").handler(this::switchFault);
        return EmulatorHttpServer.listen(vertx, router, address);
    }

    private void append(RoutingContext context) {
        if (isOn(Fault.LOG_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("log outage"));
            return;
        }
        PlatformMessages.AppendRequest request =
                EmulatorHttpServer.readBody(context, PlatformMessages.AppendRequest.class);
        if (request == null) {
            return;
        }
        long offset = log.append(System.currentTimeMillis(), request.payload());
        respondAfterEffect(context, new PlatformMessages.AppendAnswer(offset));
    }

    /** Responds to a read once there is an entry or its wait has ended. */
    private void read(RoutingContext context) {
        long after = Long.parseLong(context.request().getParam("after", "0"));
        int limit = Integer.parseInt(context.request().getParam("limit", "500"));
        long waitMillis = Long.parseLong(context.request().getParam("wait_millis", "0"));
        log.expire(System.currentTimeMillis());
        respondToRead(context, after, limit, System.currentTimeMillis() + waitMillis);
    }

    private void respondToRead(RoutingContext context, long after, int limit, long untilMillis) {
        if (isOn(Fault.LOG_OUTAGE) || isOn(Fault.LOG_READ_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("log outage"));
            return;
        }
        PlatformLog.Page page = log.read(after, limit);
        if (page.entries().isEmpty() && System.currentTimeMillis() < untilMillis) {
            vertx.setTimer(POLL_INTERVAL_MILLIS, timer -> respondToRead(context, after, limit, untilMillis));
            return;
        }
        EmulatorHttpServer.respond(context, page);
    }

    private void list(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        EmulatorHttpServer.respond(context, new PlatformMessages.BackendServerList(laggingList));
    }

    private void listEntryHosts(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        EmulatorHttpServer.respond(context, entryHosts);
    }

    private void setEntryHosts(RoutingContext context) {
        PlatformMessages.EntryHostList replacement =
                EmulatorHttpServer.readBody(context, PlatformMessages.EntryHostList.class);
        if (replacement != null) {
            entryHosts = replacement;
            EmulatorHttpServer.respond(context, entryHosts);
        }
    }

    private void register(RoutingContext context) {
        Registration registration = EmulatorHttpServer.readBody(context, Registration.class);
        if (registration != null) {
            fleet.register(registration.pool(), registration.server());
            EmulatorHttpServer.respond(context, registration);
        }
    }

    private void order(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        Order order = EmulatorHttpServer.readBody(context, Order.class);
        if (order != null) {
            respondAfterEffect(context, fleet.order(System.currentTimeMillis(), order));
        }
    }

    /** Responds when the weights of a model have been loaded. */
    private void respondWithWeights(RoutingContext context) {
        long nowMillis = System.currentTimeMillis();
        long waitMillis = weights.reserve(nowMillis, 1) - nowMillis;
        Weights answer = new Weights(context.pathParam("model"), waitMillis);
        vertx.setTimer(Math.max(1, waitMillis), timer -> EmulatorHttpServer.respond(context, answer));
    }

    private void report(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.respond(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        UsageReport report = EmulatorHttpServer.readBody(context, UsageReport.class);
        if (report != null) {
            reports.add(report);
            respondAfterEffect(context, new EmulatorHttpServer.MessageBody("acknowledged"));
        }
    }

    private void switchFault(RoutingContext context) {
        FaultSwitch change = EmulatorHttpServer.readBody(context, FaultSwitch.class);
        if (change == null) {
            return;
        }
        String name = change.name().toUpperCase(Locale.ROOT);
        if (name.startsWith(EVICT_PREFIX)) {
            fleet.evict(change.name().substring(EVICT_PREFIX.length()), change.amount() > 0);
        } else if (name.startsWith(LEAVING_PREFIX)) {
            fleet.setLeaving(change.name().substring(LEAVING_PREFIX.length()), change.amount() > 0);
        } else if (Arrays.stream(Fault.values()).anyMatch(fault -> fault.name().equals(name))) {
            faults.put(Fault.valueOf(name), change.amount());
        } else {
            EmulatorHttpServer.respond(context, BAD_REQUEST, new EmulatorHttpServer.MessageBody("no such fault"));
            return;
        }
        EmulatorHttpServer.respond(context, change);
    }

    /** Responds to a request that has taken effect, unless the fault LOST_ANSWERS is on. */
    private void respondAfterEffect(RoutingContext context, Object answer) {
        if (isOn(Fault.LOST_ANSWERS)) {
            faults.merge(Fault.LOST_ANSWERS, -1.0, Double::sum);
            EmulatorHttpServer.dropConnection(context);
            return;
        }
        EmulatorHttpServer.respond(context, answer);
    }

    private boolean isOn(Fault fault) {
        return faults.getOrDefault(fault, 0.0) > 0;
    }

    /** Faults that can be switched on. */
    private enum Fault {
        /** Appends to the log and reads from it fail. */
        LOG_OUTAGE,
        /** Reads from the log fail. */
        LOG_READ_OUTAGE,
        /** Lists, orders and usage reports fail. */
        PLATFORM_OUTAGE,
        /** This number of requests take effect, but their connection is closed without a response. */
        LOST_ANSWERS
    }

    /**
     * Options of the emulated platform.
     *
     * @param retentionMillis The time for which log entries are kept in milliseconds.
     * @param checksFencing Whether orders with an old fencing number are rejected.
     * @param startMillis The time that a backend server takes to start in milliseconds.
     * @param listLagMillis The lag of the list of backend servers in milliseconds.
     * @param weightMillis The time to load the weights of one model in milliseconds.
     */
    public record Options(
            long retentionMillis, boolean checksFencing, long startMillis, long listLagMillis, long weightMillis) {}

    /**
     * The response to a request for the weights of a model.
     *
     * @param waitedMillis The time that loading took in milliseconds.
     */
    public record Weights(String model, long waitedMillis) {}

    /** The registration of a backend server that can be ordered. */
    public record Registration(String pool, BackendServer server) {}
}
