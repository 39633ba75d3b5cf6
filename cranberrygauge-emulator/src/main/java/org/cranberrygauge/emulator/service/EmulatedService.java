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
 * The stand-in of a plain service, such as a ledger, which counts each execution.
 *
 * <p>All exchanges run on one event loop.
 */
public final class EmulatedService {

    /** The header that names a call, whichever way and however often it arrives. */
    public static final String CALL_HEADER = "X-Call-Id";

    /** The Vert.x instance. */
    private final Vertx vertx;

    /** The time a call takes in milliseconds. */
    private final long callMillis;

    /** The executions by call. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The credentials that were sent. */
    private final Set<String> credentials = new HashSet<>();

    /** The names of the headers that were sent. */
    private final Set<String> headers = new HashSet<>();

    /** The strength of each fault that is on. */
    private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);

    /**
     * Creates a stand-in.
     *
     * @param vertx The Vert.x instance.
     * @param callMillis The time a call takes in milliseconds.
     */
    public EmulatedService(Vertx vertx, long callMillis) {
        this.vertx = vertx;
        this.callMillis = callMillis;
    }

    /**
     * Starts to listen.
     *
     * @param address The address.
     * @return The server.
     */
    public Future<HttpServer> listen(NetworkAddress address) {
        Router router = EmulatorHttpServer.router(vertx);
        router.get("/counts")
                .handler(context -> EmulatorHttpServer.answer(context, new Counts(executions, credentials, headers)));
        router.post("/faults").handler(this::switchFault);
        router.route().handler(this::call);
        return EmulatorHttpServer.listen(vertx, router, address);
    }

    /**
     * Takes a call.
     *
     * @param context The exchange.
     */
    private void call(RoutingContext context) {
        credentials.add(String.valueOf(context.request().getHeader("Authorization")));
        String call = String.valueOf(context.request().getHeader(CALL_HEADER));
        if (!context.request().method().equals(HttpMethod.GET)) {
            executions.merge(call, 1, Integer::sum);
        }
        context.request().headers().names().forEach(name -> headers.add(name.toLowerCase(Locale.ROOT)));
        if (strength(Fault.DROP_AFTER_EFFECT) > 0) {
            faults.merge(Fault.DROP_AFTER_EFFECT, -1.0, Double::sum);
            EmulatorHttpServer.drop(context);
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
        vertx.setTimer(answerMillis, timer -> EmulatorHttpServer.answer(context, answer));
    }

    /**
     * Switches a fault.
     *
     * @param context The exchange.
     */
    private void switchFault(RoutingContext context) {
        FaultSwitch change = EmulatorHttpServer.body(context, FaultSwitch.class);
        if (change != null) {
            faults.put(Fault.valueOf(change.name().toUpperCase(Locale.ROOT)), change.amount());
            EmulatorHttpServer.answer(context, change);
        }
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

    /** The faults that can be switched. */
    private enum Fault {
        /** The given number of connections are dropped after the effect. */
        DROP_AFTER_EFFECT,
        /** Calls take effect and are never answered. */
        HANG_AFTER_EFFECT,
        /** Calls take effect and are answered later by the given number of milliseconds. */
        LATE_MILLIS,
        /** Answers carry the identifier of another attempt. */
        CROSSED
    }

    /**
     * What the service counted.
     *
     * @param executions The executions by call.
     * @param credentials The credentials that were sent.
     * @param headers The names of the headers that were sent, in lower case.
     */
    public record Counts(Map<String, Integer> executions, Set<String> credentials, Set<String> headers) {}

    /**
     * The answer to a call.
     *
     * @param call The call.
     * @param path The path.
     * @param executions The number of times the call took effect.
     */
    public record Answer(String call, String path, int executions) {}
}
