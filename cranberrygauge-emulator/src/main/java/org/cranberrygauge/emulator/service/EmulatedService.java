package org.cranberrygauge.emulator.service;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.emulator.web.EmulatorHttpServer;
import org.cranberrygauge.emulator.web.FaultSwitch;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Emulates a service other than a model engine, such as a ledger, and counts the executions of each call.
 *
 * <p>All requests are handled on one event loop.
 */
public final class EmulatedService {

    /** The header that identifies a call across all of its attempts and routes. */
    public static final String CALL_HEADER = "X-Call-Id";

    private final Vertx vertx;

    private final long callMillis;

    /** The number of executions by call; calls by GET are not counted. */
    private final Map<String, Integer> executions = new HashMap<>();

    private final Set<String> credentials = new HashSet<>();

    private final Set<String> headers = new HashSet<>();

    private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);

    /**
     * Creates a service that does not listen yet.
     *
     * @param callMillis The duration of a call in milliseconds.
     */
    public EmulatedService(Vertx vertx, long callMillis) {
        this.vertx = vertx;
        this.callMillis = callMillis;
    }

    /** Starts the HTTP server. */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.get("/counts")
                .handler(context -> EmulatorHttpServer.respond(context, new Counts(executions, credentials, headers)));
        router.post("/faults").handler(this::switchFault);
        router.route().handler(this::call);
        return EmulatorHttpServer.listen(vertx, router, address);
    }

    private void call(RoutingContext context) {
        credentials.add(String.valueOf(context.request().getHeader("Authorization")));
        String call = String.valueOf(context.request().getHeader(CALL_HEADER));
        if (!context.request().method().equals(HttpMethod.GET)) {
            executions.merge(call, 1, Integer::sum);
        }
        context.request().headers().names().forEach(name -> headers.add(name.toLowerCase(Locale.ROOT)));
        if (strength(Fault.DROP_AFTER_EFFECT) > 0) {
            faults.merge(Fault.DROP_AFTER_EFFECT, -1.0, Double::sum);
            EmulatorHttpServer.dropConnection(context);
            return;
        }
        if (strength(Fault.HANG_AFTER_EFFECT) > 0) {
            return;
        }
        Answer answer = new Answer(call, context.request().path(), executions.getOrDefault(call, 0));
        String attempt = strength(Fault.CROSSED) > 0
                ? "another-attempt"
                : context.request().getHeader("X-Attempt-Id");
        if (attempt != null) {
            context.response().putHeader("X-Attempt-Id", attempt);
        }
        long answerMillis = Math.max(1, callMillis + (long) strength(Fault.LATE_MILLIS));
        vertx.setTimer(answerMillis, timer -> EmulatorHttpServer.respond(context, answer));
    }

    private void switchFault(RoutingContext context) {
        FaultSwitch change = EmulatorHttpServer.readBody(context, FaultSwitch.class);
        if (change != null) {
            faults.put(Fault.valueOf(change.name().toUpperCase(Locale.ROOT)), change.amount());
            EmulatorHttpServer.respond(context, change);
        }
    }

    private double strength(Fault fault) {
        return faults.getOrDefault(fault, 0.0);
    }

    /** Faults that can be switched on. */
    private enum Fault {
        /** This number of calls take effect, but their connection is closed without a response. */
        DROP_AFTER_EFFECT,
        /** Calls take effect, but are never answered. */
        HANG_AFTER_EFFECT,
        /** Calls take effect, but are answered this many milliseconds late. */
        LATE_MILLIS,
        /** Responses carry the identifier of another attempt. */
        CROSSED
    }

    /**
     * Counts of the emulated service, served at /counts.
     *
     * @param executions The number of executions by call.
     * @param credentials The Authorization headers that were received.
     * @param headers The names of the headers that were received, in lower case.
     */
    public record Counts(Map<String, Integer> executions, Set<String> credentials, Set<String> headers) {}

    /**
     * The response to a call.
     *
     * @param executions The number of times that the call has taken effect.
     */
    public record Answer(String call, String path, int executions) {}
}
