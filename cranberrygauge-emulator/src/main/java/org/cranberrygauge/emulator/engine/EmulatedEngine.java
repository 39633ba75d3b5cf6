package org.cranberrygauge.emulator.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.emulator.engine.EngineFaults.Fault;
import org.cranberrygauge.emulator.web.EmulatorHttpServer;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * The stand-in of an engine that batches continuously.
 *
 * <p>All exchanges run on one event loop.
 */
public final class EmulatedEngine {

    /** The header with the label by which usage is counted. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    /** The status of an answer to a request for a model that does not run here. */
    private static final int NOT_FOUND = 404;

    /** The header with the priority; those of a lower number run first. */
    static final String PRIORITY_HEADER = "X-Priority";

    /** The status of an answer to an order with an old fencing number. */
    private static final int CONFLICT = 409;

    /** The status of an answer to a fault that does not exist. */
    private static final int BAD_REQUEST = 400;

    /** The text in a prompt that crashes the engine. */
    private static final String CRASH_TEXT = "CRASH-THE-ENGINE";

    /** The time between two samples of the load in milliseconds. */
    private static final long SAMPLE_MILLIS = 20;

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** What the engine does when a request crashes it. */
    private final CrashAction crashAction;

    /** Whether orders with an old fencing number are refused. */
    private final boolean checksFencing;

    /** The models that run here. */
    private Set<String> models;

    /** The highest fencing number seen. */
    private long highestFencing;

    /** The server, once it listens. */
    private HttpServer server;

    /** The load over the last time. */
    private final LoadHistory history = new LoadHistory();

    /** The speed. */
    private final EngineSpeed speed;

    /** The cache of prefixes. */
    private final PrefixCache cache;

    /** The requests that wait for a slot. */
    private final List<EngineStream> waiting = new ArrayList<>();

    /** The requests that run. */
    private final Set<EngineStream> running = new HashSet<>();

    /** The usage by label. */
    private final Map<String, UsageFigures> usage = new HashMap<>();

    /** The credentials that were sent. */
    private final Set<String> credentials = new HashSet<>();

    /** The names of the headers that were sent. */
    private final Set<String> headers = new HashSet<>();

    /** The faults that are on. */
    private final EngineFaults faults = new EngineFaults();

    /** The requests that arrived. */
    private long started;

    /** The requests whose connection went away. */
    private long cancelled;

    /**
     * Creates a stand-in.
     *
     * @param vertx The Vert.x instance.
     * @param models The models that run here.
     * @param speed The speed.
     * @param cacheTokens The memory of the prefix cache in tokens.
     * @param checksFencing Whether orders with an old fencing number are refused.
     * @param crashAction What the engine does when a request crashes it.
     */
    public EmulatedEngine(
            Vertx vertx,
            Set<String> models,
            EngineSpeed speed,
            int cacheTokens,
            boolean checksFencing,
            CrashAction crashAction) {
        this.vertx = vertx;
        this.checksFencing = checksFencing;
        this.crashAction = crashAction;
        this.models = Set.copyOf(models);
        this.speed = speed;
        this.cache = new PrefixCache(cacheTokens);
    }

    /**
     * Starts to listen.
     *
     * @param address The address.
     * @return The server.
     */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.post("/v1/chat/completions").handler(this::complete);
        router.post("/v1/completions").handler(this::complete);
        router.get("/counts").handler(context -> EmulatorHttpServer.answer(context, counts()));
        router.get("/load").handler(this::load);
        router.post("/role").handler(this::changeRole);
        router.get("/cache-events").handler(this::cacheEvents);
        router.post("/faults").handler(this::switchFault);
        vertx.setPeriodic(
                SAMPLE_MILLIS,
                timer -> history.add(new LoadHistory.Sample(
                        System.currentTimeMillis(), running.size(), waiting.size(), cache.eventCount())));
        return EmulatorHttpServer.listen(vertx, router, address).onSuccess(listening -> server = listening);
    }

    /**
     * Returns the faults that are on.
     *
     * @return The faults.
     */
    EngineFaults faults() {
        return faults;
    }

    /**
     * Takes a completion.
     *
     * @param context The exchange.
     */
    private void complete(RoutingContext context) {
        started++;
        credentials.add(String.valueOf(context.request().getHeader("Authorization")));
        context.request().headers().names().forEach(name -> headers.add(name.toLowerCase(Locale.ROOT)));
        ChatRequest request = EmulatorHttpServer.body(context, ChatRequest.class);
        if (request == null || answeredByFault(context)) {
            return;
        }
        if (request.promptText().contains(CRASH_TEXT)) {
            crashAction.crash(server);
            return;
        }
        if (!models.contains(request.model())) {
            EmulatorHttpServer.answer(context, NOT_FOUND, new EmulatorHttpServer.MessageBody("no such model"));
            return;
        }
        EngineStream stream = new EngineStream(this, context, request);
        context.response().closeHandler(closed -> cancel(stream));
        waiting.add(stream);
        startWaiting();
    }

    /**
     * Lets a fault answer, if one is on.
     *
     * @param context The exchange.
     * @return Whether it answered or swallowed the request.
     */
    private boolean answeredByFault(RoutingContext context) {
        if (faults.isOn(Fault.STATUS)) {
            EmulatorHttpServer.answer(
                    context, (int) faults.strength(Fault.STATUS), new EmulatorHttpServer.MessageBody("fault"));
            return true;
        }
        if (faults.isOn(Fault.GARBAGE)) {
            context.response().end("\u0000\u0001 not json at all");
            return true;
        }
        if (faults.isOn(Fault.DROP)) {
            EmulatorHttpServer.drop(context);
            return true;
        }
        return faults.isOn(Fault.HANG);
    }

    /** Starts waiting requests while a slot is free. */
    private void startWaiting() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineStream stream = waiting.stream()
                    .min(Comparator.comparingInt(EngineStream::priority))
                    .orElseThrow();
            waiting.remove(stream);
            running.add(stream);
            int cachedTokens = cache.use(
                    TokenText.digest(stream.request().prefixText()),
                    TokenText.count(stream.request().prefixText()));
            int uncached = Math.max(1, stream.promptTokens() - cachedTokens);
            vertx.setTimer(atLeastOne(speed.prefillMillis(uncached, slowness())), timer -> stream.step());
        }
    }

    /**
     * Schedules the next token of a request.
     *
     * @param stream The request.
     */
    void scheduleToken(EngineStream stream) {
        vertx.setTimer(atLeastOne(speed.intervalMillis(running.size(), slowness())), timer -> stream.step());
    }

    /**
     * Ends a request.
     *
     * @param stream The request.
     */
    void finish(EngineStream stream) {
        running.remove(stream);
        startWaiting();
    }

    /**
     * Counts usage.
     *
     * @param label The label that the gateway sent.
     * @param figures The usage.
     */
    void count(String label, UsageFigures figures) {
        usage.merge(label, figures, UsageFigures::plus);
    }

    /**
     * Cancels a request whose connection went away.
     *
     * @param stream The request.
     */
    private void cancel(EngineStream stream) {
        if (stream.cancel()) {
            cancelled++;
            waiting.remove(stream);
            finish(stream);
        }
    }

    /**
     * Answers with the cache events that are published by now.
     *
     * @param context The exchange.
     */
    private void cacheEvents(RoutingContext context) {
        int after = Integer.parseInt(context.request().getParam("after", "0"));
        int gap = (int) faults.strength(Fault.CACHE_EVENT_GAP);
        int published = faults.isOn(Fault.CACHE_EVENT_LAG_MILLIS)
                ? sampleBefore(faults.strength(Fault.CACHE_EVENT_LAG_MILLIS)).cacheEvents()
                : cache.eventCount();
        EmulatorHttpServer.answer(
                context,
                cache.eventsAfter(after).stream()
                        .filter(event -> event.number() <= published)
                        .filter(event -> gap == 0 || event.number() % gap != 0)
                        .toList());
    }

    /**
     * Answers with the load report, which lags.
     *
     * @param context The exchange.
     */
    private void load(RoutingContext context) {
        LoadHistory.Sample sample = sampleBefore(faults.strength(Fault.LOAD_LAG_MILLIS));
        EmulatorHttpServer.answer(
                context, new LoadReport(sample.running(), sample.waiting(), speed.slots(), sample.takenAtMillis()));
    }

    /**
     * Returns the sample of some time ago.
     *
     * @param agoMillis The time in milliseconds.
     * @return The sample.
     */
    private LoadHistory.Sample sampleBefore(double agoMillis) {
        return history.at(System.currentTimeMillis() - (long) agoMillis);
    }

    /**
     * Changes the models that run here.
     *
     * @param context The exchange.
     */
    private void changeRole(RoutingContext context) {
        RoleOrder order = EmulatorHttpServer.body(context, RoleOrder.class);
        if (order == null) {
            return;
        }
        if (checksFencing && order.fencingNumber() < highestFencing) {
            EmulatorHttpServer.answer(context, CONFLICT, new EmulatorHttpServer.MessageBody("fenced"));
            return;
        }
        highestFencing = Math.max(highestFencing, order.fencingNumber());
        models = Set.copyOf(order.models());
        EmulatorHttpServer.answer(context, order);
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
        if (faults.change(change)) {
            EmulatorHttpServer.answer(context, change);
        } else {
            EmulatorHttpServer.answer(context, BAD_REQUEST, new EmulatorHttpServer.MessageBody("no such fault"));
        }
    }

    /**
     * Returns what was counted.
     *
     * @return The counts.
     */
    private EngineCounts counts() {
        return new EngineCounts(usage, credentials, running.size(), waiting.size(), cancelled, headers, started);
    }

    /**
     * Returns the factor by which the engine is slowed down.
     *
     * @return The factor.
     */
    private double slowness() {
        return Math.max(1, faults.strength(Fault.SLOW));
    }

    /**
     * Rounds a time for a timer.
     *
     * @param millis The time in milliseconds.
     * @return The time in whole milliseconds.
     */
    private static long atLeastOne(double millis) {
        return Math.max(1, Math.round(millis));
    }

    /**
     * The load report.
     *
     * @param running The requests that ran.
     * @param waiting The requests that waited.
     * @param slots The number of requests that run at once.
     * @param takenAtMillis The time of which it tells in milliseconds of the epoch.
     */
    public record LoadReport(int running, int waiting, int slots, long takenAtMillis) {}
}
