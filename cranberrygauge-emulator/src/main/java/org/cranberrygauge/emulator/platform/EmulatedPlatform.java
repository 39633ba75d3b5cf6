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
 * The stand-in of the platform.
 *
 * <p>All exchanges run on one event loop.
 */
public final class EmulatedPlatform {

    /** The status of an answer during an outage. */
    private static final int UNAVAILABLE = 503;

    /** The status of an answer to a fault that does not exist. */
    private static final int BAD_REQUEST = 400;

    /** The start of the name of the fault that evicts a data centre. */
    private static final String EVICT = "EVICT:";

    /** The start of the name of the switch that lets a backend server leave. */
    private static final String LEAVING = "LEAVING:";

    /** The time between two looks for new entries while a read waits in milliseconds. */
    private static final long POLL_MILLIS = 5;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The log. */
    private final LogStore log;

    /** The store of model weights. */
    private final WeightStore weights;

    /** The backend servers that can be ordered. */
    private final FleetStore fleet;

    /** The entry hosts of the deployment. */
    private PlatformMessages.EntryHostList entryHosts = new PlatformMessages.EntryHostList(List.of());

    /** The usage reports in the order of their arrival. */
    private final List<UsageReport> reports = new ArrayList<>();

    /** The strength of each fault that is on. */
    private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);

    /** The list as it was some time ago. */
    private List<ListedBackendServer> laggingList = List.of();

    /**
     * Creates a stand-in.
     *
     * @param vertx The Vert.x instance.
     * @param options The options.
     */
    public EmulatedPlatform(Vertx vertx, Options options) {
        this.vertx = vertx;
        this.log = new LogStore(options.retentionMillis());
        this.weights = new WeightStore(options.weightMillis());
        this.fleet = new FleetStore(options.checksFencing(), options.startMillis(), weights);
        vertx.setPeriodic(options.listLagMillis(), timer -> laggingList = fleet.list(System.currentTimeMillis()));
    }

    /**
     * Starts to listen.
     *
     * @param address The address.
     * @return The server.
     */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.post(PlatformMessages.APPEND_PATH).handler(this::append);
        router.get(PlatformMessages.RECORDS_PATH).handler(this::read);
        router.get(PlatformMessages.BACKEND_SERVERS_PATH).handler(this::list);
        router.post(PlatformMessages.BACKEND_SERVERS_PATH).handler(this::register);
        router.get(PlatformMessages.ENTRY_HOSTS_PATH).handler(this::listEntryHosts);
        router.post(PlatformMessages.ENTRY_HOSTS_PATH).handler(this::setEntryHosts);
        router.post(PlatformMessages.ORDERS_PATH).handler(this::order);
        router.get(PlatformMessages.ORDERS_PATH).handler(context -> EmulatorHttpServer.answer(context, fleet.orders()));
        router.post(PlatformMessages.USAGE_PATH).handler(this::report);
        router.get(PlatformMessages.USAGE_PATH).handler(context -> EmulatorHttpServer.answer(context, reports));
        router.get("/weights/:model").handler(this::load);
        router.post("/faults").handler(this::switchFault);
        return EmulatorHttpServer.listen(vertx, router, address);
    }

    /**
     * Takes an append.
     *
     * @param context The exchange.
     */
    private void append(RoutingContext context) {
        if (isOn(Fault.LOG_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("log outage"));
            return;
        }
        PlatformMessages.AppendRequest request = EmulatorHttpServer.body(context, PlatformMessages.AppendRequest.class);
        if (request == null) {
            return;
        }
        long offset = log.append(System.currentTimeMillis(), request.payload());
        afterEffect(context, new PlatformMessages.AppendAnswer(offset));
    }

    /**
     * Answers a read, once there is an entry or the wait is over.
     *
     * @param context The exchange.
     */
    private void read(RoutingContext context) {
        long after = Long.parseLong(context.request().getParam("after", "0"));
        int limit = Integer.parseInt(context.request().getParam("limit", "500"));
        long waitMillis = Long.parseLong(context.request().getParam("wait_millis", "0"));
        log.expire(System.currentTimeMillis());
        answerRead(context, after, limit, System.currentTimeMillis() + waitMillis);
    }

    /**
     * Answers a read now or looks again later.
     *
     * @param context The exchange.
     * @param after The offset after which to read.
     * @param limit The highest number of entries.
     * @param untilMillis The end of the wait in milliseconds of the epoch.
     */
    private void answerRead(RoutingContext context, long after, int limit, long untilMillis) {
        if (isOn(Fault.LOG_OUTAGE) || isOn(Fault.LOG_READ_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("log outage"));
            return;
        }
        PlatformLog.Page page = log.read(after, limit);
        if (page.entries().isEmpty() && System.currentTimeMillis() < untilMillis) {
            vertx.setTimer(POLL_MILLIS, timer -> answerRead(context, after, limit, untilMillis));
            return;
        }
        EmulatorHttpServer.answer(context, page);
    }

    /**
     * Answers with the lagging list.
     *
     * @param context The exchange.
     */
    private void list(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        EmulatorHttpServer.answer(context, new PlatformMessages.BackendServerList(laggingList));
    }

    /**
     * Answers with the list of entry hosts.
     *
     * @param context The exchange.
     */
    private void listEntryHosts(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        EmulatorHttpServer.answer(context, entryHosts);
    }

    /**
     * Replaces the list of entry hosts.
     *
     * @param context The exchange.
     */
    private void setEntryHosts(RoutingContext context) {
        PlatformMessages.EntryHostList replacement =
                EmulatorHttpServer.body(context, PlatformMessages.EntryHostList.class);
        if (replacement != null) {
            entryHosts = replacement;
            EmulatorHttpServer.answer(context, entryHosts);
        }
    }

    /**
     * Registers a backend server that can be ordered.
     *
     * @param context The exchange.
     */
    private void register(RoutingContext context) {
        Registration registration = EmulatorHttpServer.body(context, Registration.class);
        if (registration != null) {
            fleet.register(registration.pool(), registration.server());
            EmulatorHttpServer.answer(context, registration);
        }
    }

    /**
     * Takes an order.
     *
     * @param context The exchange.
     */
    private void order(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        Order order = EmulatorHttpServer.body(context, Order.class);
        if (order != null) {
            afterEffect(context, fleet.order(System.currentTimeMillis(), order));
        }
    }

    /**
     * Hands out the weights of a model when its turn comes.
     *
     * @param context The exchange.
     */
    private void load(RoutingContext context) {
        long nowMillis = System.currentTimeMillis();
        long waitMillis = weights.reserve(nowMillis, 1) - nowMillis;
        Weights answer = new Weights(context.pathParam("model"), waitMillis);
        vertx.setTimer(Math.max(1, waitMillis), timer -> EmulatorHttpServer.answer(context, answer));
    }

    /**
     * Takes a usage report.
     *
     * @param context The exchange.
     */
    private void report(RoutingContext context) {
        if (isOn(Fault.PLATFORM_OUTAGE)) {
            EmulatorHttpServer.answer(context, UNAVAILABLE, new EmulatorHttpServer.MessageBody("platform outage"));
            return;
        }
        UsageReport report = EmulatorHttpServer.body(context, UsageReport.class);
        if (report != null) {
            reports.add(report);
            afterEffect(context, new EmulatorHttpServer.MessageBody("acknowledged"));
        }
    }

    /**
     * Switches a fault.
     *
     * @param context The exchange.
     */
    private void switchFault(RoutingContext context) {
        FaultSwitch change = EmulatorHttpServer.body(context, FaultSwitch.class);
        if (change == null) {
            return;
        }
        String name = change.name().toUpperCase(Locale.ROOT);
        if (name.startsWith(EVICT)) {
            fleet.evict(change.name().substring(EVICT.length()), change.amount() > 0);
        } else if (name.startsWith(LEAVING)) {
            fleet.leave(change.name().substring(LEAVING.length()), change.amount() > 0);
        } else if (Arrays.stream(Fault.values()).anyMatch(fault -> fault.name().equals(name))) {
            faults.put(Fault.valueOf(name), change.amount());
        } else {
            EmulatorHttpServer.answer(context, BAD_REQUEST, new EmulatorHttpServer.MessageBody("no such fault"));
            return;
        }
        EmulatorHttpServer.answer(context, change);
    }

    /**
     * Answers after an effect, unless its answer shall be lost.
     *
     * @param context The exchange.
     * @param answer The answer.
     */
    private void afterEffect(RoutingContext context, Object answer) {
        if (isOn(Fault.LOST_ANSWERS)) {
            faults.merge(Fault.LOST_ANSWERS, -1.0, Double::sum);
            EmulatorHttpServer.drop(context);
            return;
        }
        EmulatorHttpServer.answer(context, answer);
    }

    /**
     * Tells whether a fault is on.
     *
     * @param fault The fault.
     * @return Whether it is on.
     */
    private boolean isOn(Fault fault) {
        return faults.getOrDefault(fault, 0.0) > 0;
    }

    /** The faults that can be switched. */
    private enum Fault {
        /** Appends and reads fail. */
        LOG_OUTAGE,
        /** Reads fail. */
        LOG_READ_OUTAGE,
        /** Lists, orders and reports fail. */
        PLATFORM_OUTAGE,
        /** The given number of answers are lost after their effect. */
        LOST_ANSWERS
    }

    /**
     * The options of the stand-in.
     *
     * @param retentionMillis The time for which log entries are kept in milliseconds.
     * @param checksFencing Whether orders with an old fencing number are refused.
     * @param startMillis The time a backend server takes to start in milliseconds.
     * @param listLagMillis The lag of the list in milliseconds.
     * @param weightMillis The time that the weights of one model take in milliseconds.
     */
    public record Options(
            long retentionMillis, boolean checksFencing, long startMillis, long listLagMillis, long weightMillis) {}

    /**
     * The answer to a load of weights.
     *
     * @param model The model.
     * @param waitedMillis The time that it took in milliseconds.
     */
    public record Weights(String model, long waitedMillis) {}

    /**
     * The registration of a backend server that can be ordered.
     *
     * @param pool The name of the pool.
     * @param server The backend server.
     */
    public record Registration(String pool, BackendServer server) {}
}
