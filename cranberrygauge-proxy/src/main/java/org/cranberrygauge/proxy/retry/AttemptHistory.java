package org.cranberrygauge.proxy.retry;

/**
 * What happened to a request so far.
 *
 * @param sent The attempts that reached a connection.
 * @param failedConnects The connects that failed.
 * @param mayHaveRun Whether an attempt may have run.
 * @param streaming Whether the caller has received the start of the answer.
 */
public record AttemptHistory(int sent, int failedConnects, boolean mayHaveRun, boolean streaming) {

    /** A request that was not attempted yet. */
    public static final AttemptHistory NONE = new AttemptHistory(0, 0, false, false);

    /**
     * Returns a history with one more attempt.
     *
     * @param outcome How the attempt ended.
     * @return The history.
     */
    public AttemptHistory withOutcome(AttemptOutcome outcome) {
        return switch (outcome) {
            case NOT_CONNECTED -> new AttemptHistory(sent, failedConnects + 1, mayHaveRun, streaming);
            case NOT_RUN -> new AttemptHistory(sent + 1, failedConnects, mayHaveRun, streaming);
            case BROKEN, SERVER_ERROR, STREAM_BROKEN -> new AttemptHistory(sent + 1, failedConnects, true, streaming);
        };
    }

    /**
     * Returns a history in which the caller has received the start of the answer.
     *
     * @return The history.
     */
    public AttemptHistory withStart() {
        return new AttemptHistory(sent, failedConnects, mayHaveRun, true);
    }
}
