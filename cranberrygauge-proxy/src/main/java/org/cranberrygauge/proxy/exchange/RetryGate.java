package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.retry.RetryPolicy;
import org.cranberrygauge.proxy.stream.EventSequence;

/** Tells whether a request may be sent again, here or by another host. Not thread-safe. */
final class RetryGate {

    private final ExchangeContext context;

    private final ProxyRequest request;

    private final BackendSelection selection;

    private final CrashEvidence evidence;

    private final EventSequence sequence;

    RetryGate(
            ExchangeContext context,
            ProxyRequest request,
            BackendSelection selection,
            CrashEvidence evidence,
            EventSequence sequence) {
        this.context = context;
        this.request = request;
        this.selection = selection;
        this.evidence = evidence;
        this.sequence = sequence;
    }

    /**
     * Decides what follows a failed attempt; another attempt is taken from the retry budget.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    NextStep next(long nowMillis, AttemptHistory history, AttemptOutcome outcome) {
        NextStep next = RetryPolicy.next(request.route(), history, outcome, request.deadlineMillis() - nowMillis);
        boolean retry = next == NextStep.TRY_ANOTHER && mayRetry(nowMillis, outcome);
        return next == NextStep.TRY_ANOTHER && !retry ? RetryPolicy.withoutRetry(history, outcome) : next;
    }

    /** Checks the blame for crashes, the last event and the retry budget for another attempt. */
    private boolean mayRetry(long nowMillis, AttemptOutcome outcome) {
        if (evidence.isBlocked() || !sequence.isResumable()) {
            return false;
        }
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return true;
        }
        return context.budgets()
                .of(selection.pool().name())
                .tryAcquire(nowMillis, context.blackboard().budgetShare());
    }

    /** Records a request of a caller for the retry budget; one that another host passed on was recorded there. */
    void recordRequest(long nowMillis) {
        if (!request.forwarded()) {
            context.budgets().of(selection.pool().name()).recordRequest(nowMillis);
        }
    }

    /** Tells whether this host is isolated from all backend servers, and another one may serve the request. */
    boolean mayForward(AttemptHistory history) {
        return context.reachability().isIsolated()
                && !request.forwarded()
                && !history.streaming()
                && (!history.mayHaveRun() || request.route().kind().mayRetry())
                && history.sent() < request.route().maximumAttempts()
                && !context.blackboard().forwardingTargets().isEmpty();
    }
}
