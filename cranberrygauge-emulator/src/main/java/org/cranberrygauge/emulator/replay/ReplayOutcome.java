package org.cranberrygauge.emulator.replay;

/**
 * The outcome of one request of a trace, as seen by its caller.
 *
 * @param status The HTTP status; 0 if there was no response.
 * @param code The error code, or an empty string.
 * @param notRun Whether the response said that the request was not run.
 * @param whole Whether the answer was complete and belonged to the request.
 * @param firstTokenMillis The time to the first token, or to the answer of a call, in milliseconds; -1 if there was
 *     none.
 * @param betweenTokensMillis The mean time between tokens in milliseconds; -1 for fewer than two tokens.
 * @param tries The number of times that the request was sent.
 */
public record ReplayOutcome(
        TraceRequest request,
        int status,
        String code,
        boolean notRun,
        boolean whole,
        double firstTokenMillis,
        double betweenTokensMillis,
        int tries) {

    private static final int OK = 200;

    /** Returns whether a complete answer arrived. */
    public boolean succeeded() {
        return status == OK && whole;
    }
}
