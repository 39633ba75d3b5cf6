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
 * Emulates a model engine with continuous batching.
 *
 * <p>All requests are handled on one event loop.
 */
public final class EmulatedEngine {

    /** The header with the label under which usage is counted. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    private static final int NOT_FOUND = 404;

    /** The header with the priority; a lower number runs first. */
    static final String PRIORITY_HEADER = "X-Priority";

    private static final int CONFLICT = 409;

    private static final int BAD_REQUEST = 400;

    /** A prompt that contains this text crashes the engine. */
    private static final String CRASH_TEXT = "CRASH-THE-ENGINE";

    private static final long SAMPLE_INTERVAL_MILLIS = 20;

    private final Vertx vertx;

    private final CrashAction crashAction;

    private final boolean checksFencing;

    private Set<String> models;

    private long highestFencingNumber;

    private HttpServer server;

    /** Samples of the load, so that it can be reported with a lag. */
    private final LoadHistory history = new LoadHistory();

    private final EngineSpeed speed;

    private final PrefixCache cache;

    private final List<EngineStream> waiting = new ArrayList<>();

    private final Set<EngineStream> running = new HashSet<>();

    private final Map<String, UsageFigures> usage = new HashMap<>();

    private final Set<String> credentials = new HashSet<>();

    private final Set<String> headers = new HashSet<>();

    private final EngineFaults faults = new EngineFaults();

    /** The number of requests received. */
    private long started;

    /** The number of requests whose connection was closed by the caller before they ended. */
    private long cancelled;

    /**
     * Creates an idle engine that does not listen yet.
     *
     * @param models The models that the engine serves until its role is changed.
     * @param cacheTokens The capacity of the prefix cache in tokens.
     * @param checksFencing Whether orders with an old fencing number are rejected.
     * @param crashAction What happens when a request crashes the engine.
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

    /** Starts the HTTP server. */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.post("/v1/chat/completions").handler(this::complete);
        router.post("/v1/completions").handler(this::complete);
        router.get("/counts").handler(context -> EmulatorHttpServer.respond(context, counts()));
        router.get("/load").handler(this::respondWithLoad);
        router.post("/role").handler(this::changeRole);
        router.get("/cache-events").handler(this::respondWithCacheEvents);
        router.post("/faults").handler(this::switchFault);
        vertx.setPeriodic(
                SAMPLE_INTERVAL_MILLIS,
                timer -> history.add(new LoadHistory.Sample(
                        System.currentTimeMillis(), running.size(), waiting.size(), cache.eventCount())));
        return EmulatorHttpServer.listen(vertx, router, address).onSuccess(listening -> server = listening);
    }

    EngineFaults faults() {
        return faults;
    }

    private void complete(RoutingContext context) {
        started++;
        credentials.add(String.valueOf(context.request().getHeader("Authorization")));
        context.request().headers().names().forEach(name -> headers.add(name.toLowerCase(Locale.ROOT)));
        ChatRequest request = EmulatorHttpServer.readBody(context, ChatRequest.class);
        if (request == null || injectFault(context)) {
            return;
        }
        if (request.promptText().contains(CRASH_TEXT)) {
            crashAction.crash(server);
            return;
        }
        if (!models.contains(request.model())) {
            EmulatorHttpServer.respond(context, NOT_FOUND, new EmulatorHttpServer.MessageBody("no such model"));
            return;
        }
        EngineStream stream = new EngineStream(this, context, request);
        context.response().closeHandler(closed -> cancel(stream));
        waiting.add(stream);
        startWaiting();
    }

    /**
     * Injects a fault into a request, if one is on.
     *
     * @return Whether the request has been answered, dropped or left hanging.
     */
    private boolean injectFault(RoutingContext context) {
        if (faults.isOn(Fault.STATUS)) {
            EmulatorHttpServer.respond(
                    context, (int) faults.strength(Fault.STATUS), new EmulatorHttpServer.MessageBody("fault"));
            return true;
        }
        if (faults.isOn(Fault.GARBAGE)) {
            context.response().end("\u0000\u0001 not json at all");
            return true;
        }
        if (faults.isOn(Fault.DROP)) {
            EmulatorHttpServer.dropConnection(context);
            return true;
        }
        return faults.isOn(Fault.HANG);
    }

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
            vertx.setTimer(timerMillis(speed.prefillMillis(uncached, slowness())), timer -> stream.step());
        }
    }

    void scheduleToken(EngineStream stream) {
        vertx.setTimer(timerMillis(speed.intervalMillis(running.size(), slowness())), timer -> stream.step());
    }

    void finish(EngineStream stream) {
        running.remove(stream);
        startWaiting();
    }

    void count(String label, UsageFigures figures) {
        usage.merge(label, figures, UsageFigures::plus);
    }

    private void cancel(EngineStream stream) {
        if (stream.cancel()) {
            cancelled++;
            waiting.remove(stream);
            finish(stream);
        }
    }

    /** Responds with the cache events published so far. */
    private void respondWithCacheEvents(RoutingContext context) {
        int after = Integer.parseInt(context.request().getParam("after", "0"));
        int gap = (int) faults.strength(Fault.CACHE_EVENT_GAP);
        int published = faults.isOn(Fault.CACHE_EVENT_LAG_MILLIS)
                ? sampleBefore(faults.strength(Fault.CACHE_EVENT_LAG_MILLIS)).cacheEvents()
                : cache.eventCount();
        EmulatorHttpServer.respond(
                context,
                cache.eventsAfter(after).stream()
                        .filter(event -> event.number() <= published)
                        .filter(event -> gap == 0 || event.number() % gap != 0)
                        .toList());
    }

    /** Responds with the load report, which may lag. */
    private void respondWithLoad(RoutingContext context) {
        LoadHistory.Sample sample = sampleBefore(faults.strength(Fault.LOAD_LAG_MILLIS));
        EmulatorHttpServer.respond(
                context, new LoadReport(sample.running(), sample.waiting(), speed.slots(), sample.takenAtMillis()));
    }

    /** Returns the sample taken the given time ago. */
    private LoadHistory.Sample sampleBefore(double agoMillis) {
        return history.at(System.currentTimeMillis() - (long) agoMillis);
    }

    /** Replaces the models that the engine serves, unless the order carries an old fencing number. */
    private void changeRole(RoutingContext context) {
        RoleOrder order = EmulatorHttpServer.readBody(context, RoleOrder.class);
        if (order == null) {
            return;
        }
        if (checksFencing && order.fencingNumber() < highestFencingNumber) {
            EmulatorHttpServer.respond(context, CONFLICT, new EmulatorHttpServer.MessageBody("fenced"));
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        models = Set.copyOf(order.models());
        EmulatorHttpServer.respond(context, order);
    }

    private void switchFault(RoutingContext context) {
        FaultSwitch change = EmulatorHttpServer.readBody(context, FaultSwitch.class);
        if (change == null) {
            return;
        }
        if (faults.change(change)) {
            EmulatorHttpServer.respond(context, change);
        } else {
            EmulatorHttpServer.respond(context, BAD_REQUEST, new EmulatorHttpServer.MessageBody("no such fault"));
        }
    }

    private EngineCounts counts() {
        return new EngineCounts(usage, credentials, running.size(), waiting.size(), cancelled, headers, started);
    }

    /** Returns the factor by which the engine is slowed down, at least 1. */
    private double slowness() {
        return Math.max(1, faults.strength(Fault.SLOW));
    }

    /** Rounds a delay to whole milliseconds; timers need at least one. */
    private static long timerMillis(double millis) {
        return Math.max(1, Math.round(millis));
    }

    /**
     * The load at the time of a sample, served at /load.
     *
     * @param running The number of requests that were running.
     * @param waiting The number of requests that were queued.
     * @param slots The number of requests that can run concurrently.
     * @param takenAtMillis The time of the sample in milliseconds since the epoch.
     */
    public record LoadReport(int running, int waiting, int slots, long takenAtMillis) {}
}
