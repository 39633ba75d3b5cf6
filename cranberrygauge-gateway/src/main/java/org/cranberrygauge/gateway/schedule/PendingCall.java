package org.cranberrygauge.gateway.schedule;

import java.util.function.Consumer;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * A request that waits for a backend server.
 *
 * @param queued What admission needs to know.
 * @param routing What routing needs to know.
 * @param eligibility Tells on which backend servers the request may start.
 * @param onStart Takes the backend server that it starts on.
 * @param onRefused Takes the refusal.
 * @param onPreempted Stops the attempt and submits the request again, or null if it can't go on elsewhere.
 */
public record PendingCall(
        QueuedRequest queued,
        RoutingRequest routing,
        Eligibility eligibility,
        Consumer<BackendServer> onStart,
        Consumer<Refusal> onRefused,
        Runnable onPreempted) {

    /**
     * Creates a call that can't be preempted.
     *
     * @param queued What admission needs to know.
     * @param routing What routing needs to know.
     * @param eligibility Tells on which backend servers the request may start.
     * @param onStart Takes the backend server that it starts on.
     * @param onRefused Takes the refusal.
     */
    public PendingCall(
            QueuedRequest queued,
            RoutingRequest routing,
            Eligibility eligibility,
            Consumer<BackendServer> onStart,
            Consumer<Refusal> onRefused) {
        this(queued, routing, eligibility, onStart, onRefused, null);
    }
}
