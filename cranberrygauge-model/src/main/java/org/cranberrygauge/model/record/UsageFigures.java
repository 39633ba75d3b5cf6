package org.cranberrygauge.model.record;

/**
 * Counted usage.
 *
 * @param calls The number of calls.
 * @param promptTokens The number of prompt tokens.
 * @param outputTokens The number of output tokens.
 */
public record UsageFigures(long calls, long promptTokens, long outputTokens) {

    /** No usage. */
    private static final UsageFigures NONE = new UsageFigures(0, 0, 0);

    /**
     * Returns no usage.
     *
     * @return The zero.
     */
    public static UsageFigures none() {
        return NONE;
    }

    /**
     * Adds usage.
     *
     * @param other The other usage.
     * @return The sum.
     */
    public UsageFigures plus(UsageFigures other) {
        return new UsageFigures(
                calls + other.calls, promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }

    /**
     * Subtracts usage.
     *
     * @param other The other usage.
     * @return The difference.
     */
    public UsageFigures minus(UsageFigures other) {
        return new UsageFigures(
                calls - other.calls, promptTokens - other.promptTokens, outputTokens - other.outputTokens);
    }

    /**
     * Takes the greater of each figure, which heals lost and repeated deltas.
     *
     * @param other The other usage.
     * @return The greater figures.
     */
    public UsageFigures maximum(UsageFigures other) {
        return new UsageFigures(
                Math.max(calls, other.calls),
                Math.max(promptTokens, other.promptTokens),
                Math.max(outputTokens, other.outputTokens));
    }
}
