package org.cranberrygauge.gateway.schedule;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * A request that waits for a backend server.
 *
 * @param queued What admission needs to know.
 * @param routing What routing needs to know.
 * @param mayStartOn Tells whether the request may start on a backend server with a free slot.
 * @param onStart Takes the backend server that it starts on.
 * @param onRefused Takes the refusal.
 */
public record PendingCall(
        QueuedRequest queued,
        RoutingRequest routing,
        Predicate<BackendServer> mayStartOn,
        Consumer<BackendServer> onStart,
        Consumer<Refusal> onRefused) {}
