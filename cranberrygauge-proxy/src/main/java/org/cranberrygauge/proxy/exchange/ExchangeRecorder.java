package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.retry.AttemptHistory;
import org.cranberrygauge.proxy.retry.AttemptOutcome;
import org.cranberrygauge.proxy.retry.NextStep;
import org.cranberrygauge.proxy.routing.BackendChooser.Choice;

/**
 * Tells by events, metrics and usage counts what becomes of one request.
 *
 * <p>Invariant: a request is counted at most once as one that began to run. Used by one thread.
 */
final class ExchangeRecorder {

    /** The label of requests without a customer. */
    private static final String NO_CUSTOMER = "-";

    /** The tools. */
    private final ExchangeContext context;

    /** The request. */
    private final ProxyRequest request;

    /** The predicted cost of the first choice in milliseconds; -1 before it. */
    private long costMillis = -1;

    /** The time to the first event or whole answer in milliseconds; -1 before it. */
    private long firstMillis = -1;

    /** Whether the request was counted as one that began to run. */
    private boolean counted;

    /**
     * Creates a report.
     *
     * @param context The tools.
     * @param request The request.
     */
    ExchangeRecorder(ExchangeContext context, ProxyRequest request) {
        this.context = context;
        this.request = request;
    }

    /**
     * Notes the choice of a backend server.
     *
     * @param choice The choice.
     */
    void chosen(Choice choice) {
        if (costMillis < 0) {
            costMillis = (long) choice.costMillis();
        }
    }

    /**
     * Notes the first event or the whole answer.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    void first(long nowMillis) {
        firstMillis = nowMillis - request.receivedMillis();
        context.metrics().first(request.route().name(), customer(), firstMillis);
    }

    /** Counts the request as one that began to run, once. */
    void began() {
        if (counted) {
            return;
        }
        counted = true;
        request.customer()
                .ifPresent(name -> context.usage().count(context.usageTime().wallMillis(), name));
    }

    /**
     * Tells of a failed attempt.
     *
     * @param backend The backend server.
     * @param outcome How the attempt ended.
     * @param detail What happened.
     * @param next What follows.
     * @param history What happened so far.
     * @param remainingMillis The time left in milliseconds.
     * @param afterMillis The time since the attempt started in milliseconds.
     */
    void attemptFailed(
            Backend backend,
            AttemptOutcome outcome,
            String detail,
            NextStep next,
            AttemptHistory history,
            long remainingMillis,
            long afterMillis) {
        context.metrics().attemptFailed(request.pool().name(), outcome.name());
        context.events()
                .emit(new ExchangeEvents.AttemptFailed(
                        request.id(),
                        backend.id(),
                        outcome.name(),
                        detail,
                        next.name(),
                        history.sent(),
                        remainingMillis,
                        afterMillis));
    }

    /**
     * Tells of the end of the request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param outcome How it ended.
     * @param status The status of the answer; 0 if the connection was closed.
     * @param backend The last backend server.
     * @param attempts The attempts that were sent.
     */
    void ended(long nowMillis, String outcome, int status, String backend, int attempts) {
        context.metrics().ended(request.route().name(), customer(), outcome);
        context.events()
                .emit(new ExchangeEvents.RequestEnded(
                        request.id(),
                        request.route().name(),
                        customer(),
                        request.urgency(),
                        outcome,
                        status,
                        backend,
                        attempts,
                        costMillis,
                        firstMillis,
                        nowMillis - request.receivedMillis()));
    }

    /**
     * Returns the customer.
     *
     * @return The name of the customer, or a dash.
     */
    private String customer() {
        return request.customer().orElse(NO_CUSTOMER);
    }
}
