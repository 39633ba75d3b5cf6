package org.cranberrygauge.gateway.call;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Counts the tokens that a caller got and measures the times between them.
 *
 * <p>Invariants: the count never falls. Used on the context of the caller's connection.
 */
final class TokenMeter {

    /** The number of tokens of an attempt from which its speed counts as measured. */
    private static final int MEASURED_TOKENS = 4;

    /** The number of tokens. */
    private int delivered;

    /** The number of tokens before the present attempt. */
    private int deliveredBefore;

    /** The time of the last token in nanoseconds. */
    private long lastNanos;

    /** The time of the first token of the present attempt in nanoseconds. */
    private long attemptNanos;

    /** Begins an attempt. */
    void beginAttempt() {
        deliveredBefore = delivered;
    }

    /**
     * Counts a token.
     *
     * @param nowNanos The present monotonic time in nanoseconds.
     * @return The time since the token before it in milliseconds, or nothing for the first.
     */
    OptionalDouble count(long nowNanos) {
        OptionalDouble gap = delivered == 0 ? OptionalDouble.empty() : OptionalDouble.of(millis(nowNanos - lastNanos));
        if (delivered == deliveredBefore) {
            attemptNanos = nowNanos;
        }
        lastNanos = nowNanos;
        delivered++;
        return gap;
    }

    /**
     * Returns the number of tokens.
     *
     * @return The number.
     */
    int delivered() {
        return delivered;
    }

    /**
     * Returns the mean time between the tokens of the present attempt.
     *
     * @return The time in milliseconds, or nothing after too few tokens.
     */
    OptionalDouble meanIntervalMillis() {
        int measured = delivered - deliveredBefore;
        return measured < MEASURED_TOKENS
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis(lastNanos - attemptNanos) / (measured - 1));
    }

    /**
     * Converts a time.
     *
     * @param nanos The time in nanoseconds.
     * @return The time in milliseconds.
     */
    private static double millis(long nanos) {
        return (double) nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
