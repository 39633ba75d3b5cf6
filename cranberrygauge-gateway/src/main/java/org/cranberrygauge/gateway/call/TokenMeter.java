package org.cranberrygauge.gateway.call;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Counts the tokens delivered to a caller and measures the intervals between them.
 *
 * <p>Invariants: the count never decreases. Used on the context of the caller's connection.
 */
final class TokenMeter {

    /** The number of tokens an attempt must deliver for its mean token interval to be reported. */
    private static final int MIN_MEASURED_TOKENS = 4;

    private int delivered;

    /** The number of tokens delivered before the current attempt. */
    private int deliveredBeforeAttempt;

    private long lastNanos;

    /** The time of the first token of the current attempt in nanoseconds. */
    private long firstTokenNanos;

    void beginAttempt() {
        deliveredBeforeAttempt = delivered;
    }

    /**
     * Counts a token.
     *
     * @return The time since the previous token in milliseconds, or nothing for the first token.
     */
    OptionalDouble count(long nowNanos) {
        OptionalDouble gap = delivered == 0 ? OptionalDouble.empty() : OptionalDouble.of(millis(nowNanos - lastNanos));
        if (delivered == deliveredBeforeAttempt) {
            firstTokenNanos = nowNanos;
        }
        lastNanos = nowNanos;
        delivered++;
        return gap;
    }

    int delivered() {
        return delivered;
    }

    /**
     * Returns the mean interval between the tokens of the current attempt in milliseconds, or nothing after too few
     * tokens.
     */
    OptionalDouble meanIntervalMillis() {
        int measured = delivered - deliveredBeforeAttempt;
        return measured < MIN_MEASURED_TOKENS
                ? OptionalDouble.empty()
                : OptionalDouble.of(millis(lastNanos - firstTokenNanos) / (measured - 1));
    }

    private static double millis(long nanos) {
        return (double) nanos / TimeUnit.MILLISECONDS.toNanos(1);
    }
}
