package org.cranberrygauge.proxy.retry;

/**
 * What has happened to a request so far. Immutable.
 *
 * @param sent The attempts whose connection was established.
 * @param failedConnects The attempts whose connection could not be established.
 * @param mayHaveRun Whether any attempt may have run.
 * @param streaming Whether the caller has received the start of the response.
 */
public record AttemptHistory(int sent, int failedConnects, boolean mayHaveRun, boolean streaming) {

    public static final AttemptHistory NONE = new AttemptHistory(0, 0, false, false);

    /** Returns a history with one more attempt. */
    public AttemptHistory withOutcome(AttemptOutcome outcome) {
        return switch (outcome) {
            case NOT_CONNECTED -> new AttemptHistory(sent, failedConnects + 1, mayHaveRun, streaming);
            case NOT_RUN -> new AttemptHistory(sent + 1, failedConnects, mayHaveRun, streaming);
            case BROKEN, SERVER_ERROR, STREAM_BROKEN, END_UNKNOWN ->
                new AttemptHistory(sent + 1, failedConnects, true, streaming);
        };
    }

    /** Returns a history in which the caller has received the start of the response. */
    public AttemptHistory withStart() {
        return new AttemptHistory(sent, failedConnects, mayHaveRun, true);
    }
}
