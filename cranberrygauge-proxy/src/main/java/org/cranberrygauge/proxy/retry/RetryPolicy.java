package org.cranberrygauge.proxy.retry;

import org.cranberrygauge.proxy.configuration.Route;

/**
 * Decides what follows a failed attempt.
 *
 * <p>Invariants: a request that may have run is sent again only where its route allows it; a request is rejected as not
 * run only if no attempt can have run. Stateless and thread-safe.
 */
public final class RetryPolicy {

    /**
     * The connects that may fail before the request is rejected; high enough to get past the dead engines after a third
     * of them crashed.
     */
    private static final int MAXIMUM_FAILED_CONNECTS = 16;

    /** The remaining time below which another attempt can't succeed. */
    private static final long MINIMUM_REMAINING_MILLIS = 30;

    private RetryPolicy() {}

    /**
     * Decides what follows a failed attempt.
     *
     * @param history The history of the request, including the failed attempt.
     * @param remainingMillis The time until the request's deadline in milliseconds.
     * @return The next step. {@link NextStep#TRY_ANOTHER} still requires the retry budget unless nothing was sent.
     */
    public static NextStep next(Route route, AttemptHistory history, AttemptOutcome outcome, long remainingMillis) {
        return mayRetry(route, history, outcome, remainingMillis)
                ? NextStep.TRY_ANOTHER
                : withoutRetry(history, outcome);
    }

    /** Decides how a request ends that is not retried. */
    public static NextStep withoutRetry(AttemptHistory history, AttemptOutcome outcome) {
        return switch (outcome) {
            case STREAM_BROKEN, END_UNKNOWN -> NextStep.CUT;
            case SERVER_ERROR -> history.streaming() ? NextStep.CUT : NextStep.PASS_ON;
            case BROKEN -> history.streaming() ? NextStep.CUT : NextStep.REPORT_UNKNOWN;
            case NOT_CONNECTED, NOT_RUN -> withoutRetryAfterNotRun(history);
        };
    }

    private static NextStep withoutRetryAfterNotRun(AttemptHistory history) {
        if (history.streaming()) {
            return NextStep.CUT;
        }
        return history.mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE;
    }

    private static boolean mayRetry(Route route, AttemptHistory history, AttemptOutcome outcome, long remainingMillis) {
        if (remainingMillis < MINIMUM_REMAINING_MILLIS) {
            return false;
        }
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return history.failedConnects() < MAXIMUM_FAILED_CONNECTS;
        }
        if (history.sent() >= route.maximumAttempts()) {
            return false;
        }
        return outcome == AttemptOutcome.NOT_RUN || route.kind().mayRetry();
    }
}
