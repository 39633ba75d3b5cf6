package org.cranberrygauge.model.record;

/** Counted calls and tokens. */
public record UsageFigures(long calls, long promptTokens, long outputTokens) {

    private static final UsageFigures NONE = new UsageFigures(0, 0, 0);

    /** Returns the value without any usage. */
    public static UsageFigures none() {
        return NONE;
    }

    /** Returns the sum of both usages. */
    public UsageFigures plus(UsageFigures other) {
        return new UsageFigures(
                calls + other.calls, promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }

    /** Returns the difference of both usages. */
    public UsageFigures minus(UsageFigures other) {
        return new UsageFigures(
                calls - other.calls, promptTokens - other.promptTokens, outputTokens - other.outputTokens);
    }

    /** Returns the maximum of each figure. Merging cumulative figures this way tolerates lost and repeated deltas. */
    public UsageFigures maximum(UsageFigures other) {
        return new UsageFigures(
                Math.max(calls, other.calls),
                Math.max(promptTokens, other.promptTokens),
                Math.max(outputTokens, other.outputTokens));
    }
}
