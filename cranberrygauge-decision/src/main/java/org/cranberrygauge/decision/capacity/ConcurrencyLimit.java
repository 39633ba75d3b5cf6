package org.cranberrygauge.decision.capacity;

/**
 * An adaptive limit on the outstanding requests of all hosts together at one server of a plain service.
 *
 * <p>It starts at the server's number of slots, grows while response times stay near the expected ones and the limit is
 * used, and shrinks when they rise or the server rejects. Requests that the server had to queue reduce the limit to the
 * slots at the least, since fewer would leave slots idle; only requests that found a free slot reduce it further.
 * Invariant: the limit is at least 1. Not thread-safe.
 */
public final class ConcurrencyLimit {

    /** The multiple of the slots that the limit does not exceed; a longer queue at the server helps nobody. */
    private static final double MAXIMUM_SLOTS_FACTOR = 4;

    /** The multiple of the expected response time up to which the limit grows. */
    private static final double GROW_RATIO = 1.1;

    /** The multiple of the expected response time from which the limit shrinks. */
    private static final double SHRINK_RATIO = 1.8;

    /**
     * The same for requests that found a free slot. It is larger, since the slots of a server that is merely slower than
     * its pool should all be used.
     */
    private static final double UNQUEUED_SHRINK_RATIO = 2.5;

    private static final double SHRINK_FACTOR = 0.9;

    private static final double REJECTION_FACTOR = 0.8;

    /** The part of the limit that must be used for it to grow. */
    private static final double USED_FRACTION = 0.8;

    /** The weight of a response in the moving average of response times. */
    private static final double SMOOTHING = 0.05;

    /**
     * The bound on one response's ratio to the expected time, in natural logarithms, so that a single slow response
     * does not shrink the limit.
     */
    private static final double MAXIMUM_LOGARITHM = 2;

    /** The time between two reductions; requests sent before the first one must not cause the second. */
    private static final long REDUCTION_INTERVAL_MILLIS = 100;

    /** The time for which a rejection bounds the requests that are sent beyond the limit. */
    private static final long HARD_BOUND_MILLIS = 1_000;

    private final int slots;

    private double limit;

    /** The moving average of the logarithm of observed by expected response time. */
    private double slowness;

    /** The same for requests that found a free slot. */
    private double unqueuedSlowness;

    private long reducedAtMillis = Long.MIN_VALUE / 2;

    private long rejectedAtMillis = Long.MIN_VALUE / 2;

    /** The outstanding requests at the last rejection. */
    private int rejectedAt;

    public ConcurrencyLimit(int slots) {
        this.slots = Math.max(1, slots);
        this.limit = this.slots;
    }

    /** Returns the number of outstanding requests that the server handles well. */
    public int limit() {
        return (int) limit;
    }

    /**
     * Tells whether the server recently rejected a request with no more outstanding requests than these.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    public boolean isFull(long nowMillis, int outstanding) {
        return nowMillis - rejectedAtMillis < HARD_BOUND_MILLIS && outstanding >= Math.max(limit(), rejectedAt);
    }

    /**
     * Raises the limit after a response in about the unloaded time, and lowers it after much slower ones.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param outstanding The outstanding requests when this one was sent, including it.
     * @param expectedMillis The response time of an unloaded server of this speed.
     */
    public void recordResponse(long nowMillis, int outstanding, double millis, double expectedMillis) {
        if (millis <= 0 || expectedMillis <= 0) {
            return;
        }
        double logarithm = Math.log(millis / expectedMillis);
        logarithm = Math.max(-MAXIMUM_LOGARITHM, Math.min(MAXIMUM_LOGARITHM, logarithm));
        slowness += SMOOTHING * (logarithm - slowness);
        if (outstanding <= slots) {
            unqueuedSlowness += SMOOTHING * (logarithm - unqueuedSlowness);
        }
        if (unqueuedSlowness > Math.log(UNQUEUED_SHRINK_RATIO)) {
            reduce(nowMillis, SHRINK_FACTOR, 1);
        } else if (slowness > Math.log(SHRINK_RATIO) && limit > slots) {
            reduce(nowMillis, SHRINK_FACTOR, slots);
        } else if (slowness < Math.log(GROW_RATIO) && outstanding >= limit() * USED_FRACTION) {
            limit = Math.min(slots * MAXIMUM_SLOTS_FACTOR, limit + 1 / limit);
        }
    }

    /**
     * Records that the server rejected a request for lack of capacity.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param outstanding The outstanding requests when this one was sent, without it.
     */
    public void recordRejection(long nowMillis, int outstanding) {
        rejectedAtMillis = nowMillis;
        rejectedAt = outstanding;
        reduce(nowMillis, REJECTION_FACTOR, 1);
    }

    private void reduce(long nowMillis, double factor, double minimum) {
        if (nowMillis - reducedAtMillis >= REDUCTION_INTERVAL_MILLIS) {
            reducedAtMillis = nowMillis;
            limit = Math.max(minimum, limit * factor);
        }
    }
}
