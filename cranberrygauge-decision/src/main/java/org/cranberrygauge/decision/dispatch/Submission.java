package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.routing.RoutingRequest;

/**
 * A submitted request that has not ended for good.
 *
 * @param request The request as last queued.
 * @param resumable Whether the request can be stopped and resumed on another backend server.
 * @param preemptions The number of times that the request was preempted.
 * @param ran Whether an attempt of the request was started.
 * @param eligibility Restricts the backend servers on which the request may start.
 */
record Submission(
        QueuedRequest request,
        RoutingRequest routing,
        boolean resumable,
        int preemptions,
        boolean ran,
        Eligibility eligibility) {

    Submission started() {
        return new Submission(request, routing, resumable, preemptions, true, eligibility);
    }

    Submission preempted() {
        return new Submission(request, routing, resumable, preemptions + 1, ran, eligibility);
    }
}
