package org.cranberrygauge.gateway.schedule;

import java.util.function.Consumer;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * A request that is queued for a backend server.
 *
 * @param queued The properties by which it is admitted.
 * @param routing The properties by which it is routed.
 * @param eligibility The rule that tells on which backend servers it may start.
 * @param onStart Receives the backend server that the request starts on.
 * @param onRefused Receives the refusal.
 * @param onPreempted Stops the running attempt and submits the request again; null if it cannot be resumed elsewhere.
 */
public record PendingCall(
        QueuedRequest queued,
        RoutingRequest routing,
        Eligibility eligibility,
        Consumer<BackendServer> onStart,
        Consumer<Refusal> onRefused,
        Runnable onPreempted) {

    /** Creates a request that cannot be preempted. */
    public PendingCall(
            QueuedRequest queued,
            RoutingRequest routing,
            Eligibility eligibility,
            Consumer<BackendServer> onStart,
            Consumer<Refusal> onRefused) {
        this(queued, routing, eligibility, onStart, onRefused, null);
    }
}
