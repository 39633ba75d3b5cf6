package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.routing.RoutingRequest;

/**
 * A request that was submitted and has not ended for good.
 *
 * @param request The request as it was queued last.
 * @param routing What routing knows of it.
 * @param resumable Whether it can be stopped and go on elsewhere.
 * @param preemptions The number of times that it was preempted.
 * @param ran Whether an attempt of it started.
 * @param eligibility Tells on which backend servers it may start.
 */
record Submission(
        QueuedRequest request,
        RoutingRequest routing,
        boolean resumable,
        int preemptions,
        boolean ran,
        Eligibility eligibility) {

    /**
     * Notes a start.
     *
     * @return The refined submission.
     */
    Submission started() {
        return new Submission(request, routing, resumable, preemptions, true, eligibility);
    }

    /**
     * Counts a preemption.
     *
     * @return The refined submission.
     */
    Submission preempted() {
        return new Submission(request, routing, resumable, preemptions + 1, ran, eligibility);
    }
}
