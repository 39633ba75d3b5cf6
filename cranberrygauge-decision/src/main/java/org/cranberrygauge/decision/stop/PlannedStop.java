package org.cranberrygauge.decision.stop;

/**
 * Decides what a host still begins once it has received its stop signal. Each step that begins something asks anew: a
 * request that was received, waits, is sent again or passed on.
 *
 * <p>Invariant: once a host no longer begins something, it never does again. Immutable and thread-safe.
 *
 * @param beginsUntilMillis The monotonic time until which everything is begun, in milliseconds.
 * @param endMillis The monotonic time at which requests without a complete response are cut off, in milliseconds.
 */
public record PlannedStop(long beginsUntilMillis, long endMillis) {

    /** The host has received no stop signal. */
    public static final PlannedStop NONE = new PlannedStop(Long.MAX_VALUE, Long.MAX_VALUE);

    /** The host begins nothing any more. */
    public static final PlannedStop OVER = new PlannedStop(Long.MIN_VALUE, Long.MIN_VALUE);

    /** Tells whether the host has received its stop signal. */
    public boolean isSignalled() {
        return !equals(NONE);
    }

    /**
     * Tells whether something may begin: all may for a time, afterwards only what ends before the host does.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param endsByMillis The monotonic time by which it ends if it begins now, in milliseconds.
     */
    public boolean mayBegin(long nowMillis, long endsByMillis) {
        return nowMillis <= beginsUntilMillis || endsByMillis <= endMillis;
    }
}
