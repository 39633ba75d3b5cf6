package org.cranberrygauge.gateway.http;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.cranberrygauge.gateway.usage.UsageReplicator;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.blackboard.Blackboard;
import org.cranberrygauge.runtime.event.EventRingBuffer;
import org.cranberrygauge.runtime.metrics.MetricsEndpoint;

/**
 * Serves the operations endpoints: health, metrics, state and recent decisions.
 *
 * <p>Safe for use by several threads.
 */
public final class OperationsHandler implements Handler<HttpServerRequest> {

    private static final int OK = 200;

    private static final int NOT_FOUND = 404;

    /** The status sent while the gateway does not admit requests. */
    private static final int NOT_READY = 503;

    private final MetricsEndpoint metrics;

    private final AdmissionGate gate;

    private final Blackboard blackboard;

    private final EventRingBuffer recentEvents;

    private final UsageReplicator usageReplicator;

    private final String gateway;

    public OperationsHandler(
            PrometheusRegistry registry,
            AdmissionGate gate,
            Blackboard blackboard,
            EventRingBuffer recentEvents,
            UsageReplicator usageReplicator,
            String gateway) {
        this.metrics = new MetricsEndpoint(registry);
        this.gate = gate;
        this.blackboard = blackboard;
        this.recentEvents = recentEvents;
        this.usageReplicator = usageReplicator;
        this.gateway = gateway;
    }

    @Override
    public void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/metrics" -> metrics.handle(request);
            case "/health/live" -> respond(request, OK, new JsonObject().put("live", true));
            case "/health/ready" -> sendReadiness(request);
            case "/state" -> respond(request, OK, state());
            case "/decisions" -> sendDecisions(request);
            default -> respond(request, NOT_FOUND, new JsonObject().put("message", "no such path"));
        }
    }

    /** Sends the recent events about the request or backend server named by the parameter "about". */
    private void sendDecisions(HttpServerRequest request) {
        String subject = request.getParam("about", "");
        request.response()
                .putHeader("Content-Type", "application/json")
                .end(JsonCodec.write(recentEvents.about(subject)));
    }

    private void sendReadiness(HttpServerRequest request) {
        try {
            gate.check();
            respond(request, OK, new JsonObject().put("ready", true));
        } catch (CranberrygaugeException exception) {
            JsonObject body = new JsonObject().put("ready", false).put("reason", exception.getMessage());
            respond(request, NOT_READY, body);
        }
    }

    private JsonObject state() {
        return new JsonObject()
                .put("gateway", gateway)
                .put(
                        "configuration_version",
                        blackboard.log().configuration().current().version())
                .put("log_offset", blackboard.position().offset())
                .put("lease_holder", blackboard.log().lease().holder())
                .put("fencing_number", blackboard.log().lease().fencingNumber())
                .put("held_usage_calls", usageReplicator.heldCalls())
                .put("draining", gate.isDraining());
    }

    private static void respond(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }
}
