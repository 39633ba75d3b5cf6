package org.cranberrygauge.proxy.retry;

import org.cranberrygauge.proxy.configuration.Route;

/**
 * Decides what follows a failed attempt.
 *
 * <p>Invariants: a request that may have run is sent again only where its route allows it; it is refused as not run only if
 * no attempt can have run. Stateless and safe for use by several threads.
 */
public final class RetryPolicy {

    /** The connects that may fail before the request is refused. */
    private static final int MAXIMUM_FAILED_CONNECTS = 16;

    /** The remaining time under which another attempt is pointless, in milliseconds. */
    private static final long MINIMUM_REMAINING_MILLIS = 30;

    /** Prevents instances. */
    private RetryPolicy() {}

    /**
     * Decides what follows a failed attempt.
     *
     * @param route The route.
     * @param history What happened to the request so far.
     * @param outcome How the last attempt ended.
     * @param remainingMillis The time left for the request in milliseconds.
     * @return The next step; trying another still needs the budget's consent unless nothing was sent.
     */
    public static NextStep next(Route route, AttemptHistory history, AttemptOutcome outcome, long remainingMillis) {
        return mayTryAnother(route, history, outcome, remainingMillis)
                ? NextStep.TRY_ANOTHER
                : withoutAnother(history, outcome);
    }

    /**
     * Decides how a request ends that isn't tried again.
     *
     * @param history What happened to the request so far.
     * @param outcome How the last attempt ended.
     * @return The next step.
     */
    public static NextStep withoutAnother(AttemptHistory history, AttemptOutcome outcome) {
        return switch (outcome) {
            case STREAM_BROKEN -> NextStep.CUT;
            case SERVER_ERROR -> history.streaming() ? NextStep.CUT : NextStep.PASS_ON;
            case BROKEN -> history.streaming() ? NextStep.CUT : NextStep.REPORT_UNKNOWN;
            case NOT_CONNECTED, NOT_RUN -> afterNotRun(history);
        };
    }

    /**
     * Decides how a request ends whose last attempt has not run.
     *
     * @param history What happened to the request so far.
     * @return The next step.
     */
    private static NextStep afterNotRun(AttemptHistory history) {
        if (history.streaming()) {
            return NextStep.CUT;
        }
        return history.mayHaveRun() ? NextStep.REPORT_UNKNOWN : NextStep.REFUSE;
    }

    /**
     * Tells whether the request may go to another backend server.
     *
     * @param route The route.
     * @param history What happened to the request so far.
     * @param outcome How the last attempt ended.
     * @param remainingMillis The time left for the request in milliseconds.
     * @return Whether it may.
     */
    private static boolean mayTryAnother(
            Route route, AttemptHistory history, AttemptOutcome outcome, long remainingMillis) {
        if (remainingMillis < MINIMUM_REMAINING_MILLIS) {
            return false;
        }
        if (outcome == AttemptOutcome.NOT_CONNECTED) {
            return history.failedConnects() < MAXIMUM_FAILED_CONNECTS;
        }
        if (history.sent() >= route.maximumAttempts()) {
            return false;
        }
        return outcome == AttemptOutcome.NOT_RUN || route.kind().mayRepeat();
    }
}
