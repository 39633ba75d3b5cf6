package org.cranberrygauge.decision.dispatch;

import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.model.backend.BackendServer;

/**
 * Executes the decisions of a {@link Dispatcher}.
 *
 * <p>Called on the thread that uses the dispatcher. Implementations must not call back into the dispatcher.
 */
public interface DispatchListener {

    /**
     * Starts a request.
     *
     * @param request The request with its estimated cost.
     * @param guaranteed Whether the request starts ahead of higher tiers by the guaranteed share of its class.
     */
    void start(QueuedRequest request, BackendServer server, boolean guaranteed);

    /** Rejects a waiting request for good. */
    void refuse(Refusal refusal);

    /** Stops a running request. The caller submits it again once it has stopped. */
    void preempt(long requestId);
}
