package org.cranberrygauge.emulator.replay;

/**
 * What a caller saw of one request.
 *
 * @param request The request.
 * @param status The HTTP status; 0 if no answer came.
 * @param code The error code, or an empty string.
 * @param notRun Whether the answer said that nothing was run.
 * @param whole Whether the answer was whole and its own.
 * @param firstTokenMillis The time to the first token or to the answer of a call in milliseconds; -1 for none.
 * @param betweenTokensMillis The mean time between tokens in milliseconds; -1 for fewer than two tokens.
 * @param tries The number of times the caller sent it.
 */
public record Outcome(
        TraceRequest request,
        int status,
        String code,
        boolean notRun,
        boolean whole,
        double firstTokenMillis,
        double betweenTokensMillis,
        int tries) {

    /** The status of a successful answer. */
    private static final int OK = 200;

    /**
     * Tells whether the request succeeded.
     *
     * @return Whether a whole answer came.
     */
    public boolean succeeded() {
        return status == OK && whole;
    }
}
