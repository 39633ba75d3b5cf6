package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Carries out what the dispatcher decides.
 *
 * <p>Called by the thread that uses the dispatcher; must not call the dispatcher in turn.
 */
public interface DispatchListener {

    /**
     * Starts a request.
     *
     * @param request The request with its estimated cost.
     * @param server The backend server.
     * @param owed Whether it starts before higher tiers because its class is owed a start.
     */
    void start(QueuedRequest request, BackendServer server, boolean owed);

    /**
     * Refuses a request.
     *
     * @param refusal The refusal.
     */
    void refuse(Refusal refusal);

    /**
     * Stops a running request, which is then submitted again.
     *
     * @param requestId The identifier of the request.
     */
    void preempt(long requestId);
}
