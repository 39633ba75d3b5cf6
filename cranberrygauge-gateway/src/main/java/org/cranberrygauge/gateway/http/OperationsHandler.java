package org.cranberrygauge.gateway.http;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.event.EventRingBuffer;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;
import org.cranberrygauge.runtime.state.ProcessState;

/**
 * Answers the requests of operations: health, metrics and state.
 *
 * <p>Safe for use by several threads.
 */
public final class OperationsHandler implements Handler<HttpServerRequest> {

    /** The status of a process that is ready. */
    private static final int OK = 200;

    /** The status of a path that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a process that is not ready. */
    private static final int NOT_READY = 503;

    /** The endpoint of metrics. */
    private final MetricsEndpoint metrics;

    /** Tells whether the gateway admits. */
    private final AdmissionGate gate;

    /** The blackboard. */
    private final ProcessState blackboard;

    /** The newest events. */
    private final EventRingBuffer ring;

    /** Holds copies of the usage of peers. */
    private final UsageReplicator usageCopies;

    /** The incarnation of the gateway. */
    private final String gateway;

    /**
     * Creates a handler.
     *
     * @param registry The registry of metrics.
     * @param gate Tells whether the gateway admits.
     * @param blackboard The blackboard.
     * @param ring The newest events.
     * @param usageCopies Holds copies of the usage of peers.
     * @param gateway The incarnation of the gateway.
     */
    public OperationsHandler(
            PrometheusRegistry registry,
            AdmissionGate gate,
            ProcessState blackboard,
            EventRingBuffer ring,
            UsageReplicator usageCopies,
            String gateway) {
        this.metrics = new MetricsEndpoint(registry);
        this.gate = gate;
        this.blackboard = blackboard;
        this.ring = ring;
        this.usageCopies = usageCopies;
        this.gateway = gateway;
    }

    @Override
    public void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/metrics" -> metrics.handle(request);
            case "/health/live" -> answer(request, OK, new JsonObject().put("live", true));
            case "/health/ready" -> ready(request);
            case "/state" -> answer(request, OK, state());
            case "/decisions" -> decisions(request);
            default -> answer(request, NOT_FOUND, new JsonObject().put("message", "no such path"));
        }
    }

    /**
     * Answers with what was decided about a request or a backend server.
     *
     * @param request The request, with the subject as its parameter "about".
     */
    private void decisions(HttpServerRequest request) {
        String subject = request.getParam("about", "");
        request.response().putHeader("Content-Type", "application/json").end(JsonCodec.write(ring.about(subject)));
    }

    /**
     * Answers whether the gateway is ready.
     *
     * @param request The request.
     */
    private void ready(HttpServerRequest request) {
        try {
            gate.check();
            answer(request, OK, new JsonObject().put("ready", true));
        } catch (CranberrygaugeException exception) {
            JsonObject body = new JsonObject().put("ready", false).put("reason", exception.getMessage());
            answer(request, NOT_READY, body);
        }
    }

    /**
     * Builds the state.
     *
     * @return The state.
     */
    private JsonObject state() {
        return new JsonObject()
                .put("gateway", gateway)
                .put(
                        "configuration_version",
                        blackboard.log().configuration().current().version())
                .put("log_offset", blackboard.position().offset())
                .put("lease_holder", blackboard.log().lease().holder())
                .put("fencing_number", blackboard.log().lease().fencingNumber())
                .put("held_usage_calls", usageCopies.heldCalls())
                .put("draining", gate.isDraining());
    }

    /**
     * Answers with JSON.
     *
     * @param request The request.
     * @param status The status.
     * @param body The body.
     */
    private static void answer(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }
}
