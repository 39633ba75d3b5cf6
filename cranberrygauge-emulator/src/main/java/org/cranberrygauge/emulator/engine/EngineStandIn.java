package org.cranberrygauge.emulator.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.emulator.web.StandInServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.record.UsageFigures;

/**
 * The stand-in of an engine that batches continuously.
 *
 * <p>All exchanges run on one event loop.
 */
public final class EngineStandIn {

    /** The header with the label by which usage is counted. */
    public static final String USAGE_LABEL_HEADER = "X-Usage-Label";

    /** The status of an answer to a request for a model that does not run here. */
    private static final int NOT_FOUND = 404;

    /** The status with which a process ends when a crash is ordered. */
    private static final int CRASH_STATUS = 134;

    /** The text in a prompt that crashes the engine. */
    private static final String CRASH_TEXT = "CRASH-THE-ENGINE";

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The models that run here. */
    private final Set<String> models;

    /** The speed. */
    private final EngineSpeed speed;

    /** The cache of prefixes. */
    private final PrefixCache cache;

    /** The requests that wait for a slot. */
    private final Deque<EngineStream> waiting = new ArrayDeque<>();

    /** The requests that run. */
    private final Set<EngineStream> running = new HashSet<>();

    /** The usage by label. */
    private final Map<String, UsageFigures> usage = new HashMap<>();

    /** The credentials that were sent. */
    private final Set<String> credentials = new HashSet<>();

    /** The strength of each fault that is on. */
    private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);

    /** The requests whose connection went away. */
    private long cancelled;

    /**
     * Creates a stand-in.
     *
     * @param vertx The Vert.x instance.
     * @param models The models that run here.
     * @param speed The speed.
     * @param cacheTokens The memory of the prefix cache in tokens.
     */
    public EngineStandIn(Vertx vertx, Set<String> models, EngineSpeed speed, int cacheTokens) {
        this.vertx = vertx;
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
        Router router = StandInServer.router(vertx);
        router.post("/v1/chat/completions").handler(this::complete);
        router.post("/v1/completions").handler(this::complete);
        router.get("/counts").handler(context -> StandInServer.answer(context, counts()));
        router.get("/cache-events").handler(this::cacheEvents);
        router.post("/faults").handler(this::switchFault);
        return StandInServer.listen(vertx, router, address);
    }

    /**
     * Takes a completion.
     *
     * @param context The exchange.
     */
    private void complete(RoutingContext context) {
        credentials.add(String.valueOf(context.request().getHeader("Authorization")));
        ChatRequest request = StandInServer.body(context, ChatRequest.class);
        if (request == null || answeredByFault(context)) {
            return;
        }
        if (request.promptText().contains(CRASH_TEXT)) {
            Runtime.getRuntime().halt(CRASH_STATUS);
        }
        if (!models.contains(request.model())) {
            StandInServer.answer(context, NOT_FOUND, new StandInServer.Problem("no such model"));
            return;
        }
        EngineStream stream = new EngineStream(this, context, request);
        context.response().closeHandler(closed -> cancel(stream));
        waiting.addLast(stream);
        startWaiting();
    }

    /**
     * Lets a fault answer, if one is on.
     *
     * @param context The exchange.
     * @return Whether it answered or swallowed the request.
     */
    private boolean answeredByFault(RoutingContext context) {
        if (strength(Fault.GARBAGE) > 0) {
            context.response().end("\u0000\u0001 not json at all");
            return true;
        }
        if (strength(Fault.DROP) > 0) {
            StandInServer.drop(context);
            return true;
        }
        return strength(Fault.HANG) > 0;
    }

    /** Starts waiting requests while a slot is free. */
    private void startWaiting() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineStream stream = waiting.removeFirst();
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
     * Returns the number of tokens after which a stream shall break.
     *
     * @return The number; 0 for never.
     */
    int breakAfterTokens() {
        return (int) strength(Fault.BREAK_AFTER_TOKENS);
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
     * Answers with cache events.
     *
     * @param context The exchange.
     */
    private void cacheEvents(RoutingContext context) {
        int after = Integer.parseInt(context.request().getParam("after", "0"));
        StandInServer.answer(context, cache.eventsAfter(after));
    }

    /**
     * Switches a fault.
     *
     * @param context The exchange.
     */
    private void switchFault(RoutingContext context) {
        FaultSwitch change = StandInServer.body(context, FaultSwitch.class);
        if (change != null) {
            faults.put(Fault.valueOf(change.name().toUpperCase(Locale.ROOT)), change.amount());
            StandInServer.answer(context, change);
        }
    }

    /**
     * Returns what was counted.
     *
     * @return The counts.
     */
    private EngineCounts counts() {
        return new EngineCounts(usage, credentials, running.size(), waiting.size(), cancelled);
    }

    /**
     * Returns the factor by which the engine is slowed down.
     *
     * @return The factor.
     */
    private double slowness() {
        return Math.max(1, strength(Fault.SLOW));
    }

    /**
     * Returns the strength of a fault.
     *
     * @param fault The fault.
     * @return The strength; 0 if it is off.
     */
    private double strength(Fault fault) {
        return faults.getOrDefault(fault, 0.0);
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

    /** The faults that can be switched. */
    private enum Fault {
        /** The engine is slower by the given factor. */
        SLOW,
        /** Answers are garbage. */
        GARBAGE,
        /** Connections are dropped. */
        DROP,
        /** Requests are never answered. */
        HANG,
        /** Streams break after the given number of tokens. */
        BREAK_AFTER_TOKENS
    }
}
